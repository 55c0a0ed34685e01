"""Translation of the platform's part of the settings file."""

import json
from collections.abc import Mapping
from typing import Any, Final

#: Key under which the template of the deploy file puts the platform's bounds.
_BOUNDS_KEY: Final = 'bounds'
_OPTIONS_KEY: Final = 'options'
#: Option of the product that each bound gives a value to.
_OPTION_BY_BOUND: Final = {
    'warmupExcess': 'cold_start_excess',
    'warmupSlack': 'cold_start_slack',
}
#: Bound whose presence means that operators may evacuate data centres.
_EVACUATION_BOUND: Final = 'evacuateMs'


def translate_settings(text: str) -> str:
    """Return the settings with the platform's bounds as options.

    A text that is not a JSON object is returned as it is, for the check of
    the settings to report.

    Parameters
    ----------
    text : str
        Content of the settings file.
    """
    try:
        content = json.loads(text)
    except (ValueError, RecursionError):
        return text
    if not isinstance(content, dict):
        return text
    bounds = content.pop(_BOUNDS_KEY, None)
    options = content.get(_OPTIONS_KEY)
    if options is None:
        options = {}
    if isinstance(bounds, Mapping) and isinstance(options, Mapping):
        # An option that is set itself goes before the platform's bound.
        content[_OPTIONS_KEY] = {**_list_options(bounds), **options}
    return json.dumps(content)


def _list_options(bounds: Mapping[str, Any]) -> dict[str, Any]:
    options = {
        option: bounds[bound]
        for bound, option in _OPTION_BY_BOUND.items()
        if bound in bounds
    }
    if _EVACUATION_BOUND in bounds:
        options['follow_evacuations'] = True
    return options
