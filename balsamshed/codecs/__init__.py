"""Encoding of packets, peer messages, reports and views."""
