"""Edge balancer: joins routes, endpoints, packet path and reads of the store."""
