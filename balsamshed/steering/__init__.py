"""Packet path that needs no flow state: a cookie names the endpoint."""
