"""Type of the source of random numbers that the decision packages receive."""

from collections.abc import Callable

#: Returns a random integer from 0 to below its argument.
RandBelow = Callable[[int], int]
