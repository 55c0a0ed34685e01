"""Settings of the optional parts of an edge balancer."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Final

from balsamshed.findings import Finding
from balsamshed.steering.options import (
    NO_OPTIONS,
    ColdStartLimit,
    EdgeOptions,
    HedgeLimit,
)

#: Key of the options in the settings.
OPTIONS_KEY: Final = 'options'
#: Larger numbers, and infinite ones, are faults of the file.
_MAX_NUMBER: Final = 1_000_000
_PLACE: Final = f'$.{OPTIONS_KEY}'


@dataclass(frozen=True, slots=True)
class _OptionRule:
    """Check of one option, with a description of what it accepts."""

    allowed: str
    is_valid: Callable[[Any], bool]


def parse_edge_options(content: Any) -> EdgeOptions | tuple[Finding, ...]:
    """Validate the options of an edge balancer.

    Parameters
    ----------
    content : object
        Decoded JSON; None if the settings have no options.

    Returns
    -------
    EdgeOptions or tuple of Finding
        The options, or all faults. Unknown keys are ignored, as elsewhere in
        the settings.
    """
    if content is None:
        return NO_OPTIONS
    if not isinstance(content, Mapping):
        return (Finding(_PLACE, type(content).__name__, 'an object'),)
    findings = [
        Finding(f'{_PLACE}.{key}', repr(content[key]), rule.allowed)
        for key, rule in _OPTION_RULES.items()
        if key in content and not rule.is_valid(content[key])
    ]
    if ('cold_start_excess' in content) != ('cold_start_slack' in content):
        findings.append(
            Finding(
                _PLACE,
                'one of cold_start_excess and cold_start_slack',
                'both or none',
            ),
        )
    return tuple(findings) or _build_options(content)


def _is_flag(value: Any) -> bool:
    return isinstance(value, bool)


def _is_number(value: Any) -> bool:
    if not isinstance(value, int | float) or isinstance(value, bool):
        return False
    return abs(value) <= _MAX_NUMBER


def _is_excess(value: Any) -> bool:
    return _is_number(value) and value >= 1


def _is_slack(value: Any) -> bool:
    return _is_number(value) and value >= 0


def _is_share(value: Any) -> bool:
    return _is_number(value) and 0 <= value <= 1


def _is_count(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value >= 1


_FLAG_RULE: Final = _OptionRule('true or false', _is_flag)
_OPTION_RULES: Final = {
    'follow_evacuations': _FLAG_RULE,
    'cold_start_excess': _OptionRule('a number from 1', _is_excess),
    'cold_start_slack': _OptionRule('a number from 0', _is_slack),
    'balance_by_speed': _FLAG_RULE,
    'balance_data_centres': _FLAG_RULE,
    'limit_admission': _FLAG_RULE,
    'hedged_share': _OptionRule('a number from 0 to 1', _is_share),
    'hedge_burst': _OptionRule('a whole number from 1', _is_count),
}
#: Hedged openings at once, where the settings name a share only.
_DEFAULT_HEDGE_BURST: Final = 2


def _build_options(content: Mapping[str, Any]) -> EdgeOptions:
    cold_start_limit = None
    if 'cold_start_excess' in content:
        cold_start_limit = ColdStartLimit(
            content['cold_start_excess'], content['cold_start_slack']
        )
    hedge_limit = None
    if content.get('hedged_share', 0):
        hedge_limit = HedgeLimit(
            content['hedged_share'],
            content.get('hedge_burst', _DEFAULT_HEDGE_BURST),
        )
    return EdgeOptions(
        follows_evacuations=content.get('follow_evacuations', False),
        cold_start_limit=cold_start_limit,
        balances_by_speed=content.get('balance_by_speed', False),
        balances_data_centres=content.get('balance_data_centres', False),
        limits_admission=content.get('limit_admission', False),
        hedge_limit=hedge_limit,
    )
