"""Routes: which services take the flows to an address and port."""
