"""A balancer: events in, effects out."""
