"""Measured figures and their output format."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Figure:
    """One measured quantity with its bound.

    Parameters
    ----------
    name : str
        Name of the quantity, in lower case with underscores.
    value : float
        Measured value.
    total : int
        Number of samples, for example flows; zero means that nothing was
        measured, which fails.
    bound : float
        Highest value that the design page allows.
    unit : str
        Unit of the value and of the bound.
    """

    name: str
    value: float
    total: int
    bound: float
    unit: str

    @property
    def has_passed(self) -> bool:
        """Whether something was measured and the bound holds."""
        return self.total > 0 and self.value <= self.bound


def format_figure(figure: Figure) -> str:
    """Return the output line of a figure.

    Parameters
    ----------
    figure : Figure
        Figure to show.

    Returns
    -------
    str
        Pairs of key and value, without a line break.
    """
    verdict = 'true' if figure.has_passed else 'false'
    return ' '.join(
        (
            f'figure={figure.name}',
            f'value={round(figure.value, 3):g}',
            f'of={figure.total}',
            f'bound={round(figure.bound, 3):g}',
            f'unit={figure.unit}',
            f'ok={verdict}',
        ),
    )
