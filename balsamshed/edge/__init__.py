"""Edge balancer: combines routes, endpoints, packets and reads of the store."""
