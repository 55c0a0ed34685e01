"""Sockets, timers and HTTP of the balancer processes."""
