"""Packet path without flow state: the cookie of a packet names its endpoint."""
