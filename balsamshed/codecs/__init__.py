"""Encoding of packets, peer messages and resources."""
