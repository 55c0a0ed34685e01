"""Stand-ins for clients, endpoints, routers and the platform's store."""
