"""Sockets and timers around a node."""
