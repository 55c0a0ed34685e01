"""Time that packets wait at the link of a machine."""

from dataclasses import dataclass, field


@dataclass
class Waits:
    """Seconds that each packet waits at the links of machines, by address."""

    seconds: dict[str, float] = field(default_factory=dict)

    def pass_link(self, host: str) -> float:
        """Return how long a packet takes to enter or to leave a machine."""
        return self.seconds.get(host, 0)
