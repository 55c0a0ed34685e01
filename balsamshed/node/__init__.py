"""Core of a balancer: turns events into effects, without input or output."""
