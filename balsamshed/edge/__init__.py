"""Edge balancer: joins routes, endpoints, packets and reads of the store."""
