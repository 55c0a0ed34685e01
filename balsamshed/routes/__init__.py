"""Routes: which service serves an address and port."""
