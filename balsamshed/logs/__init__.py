"""Structured log: one line of key=value pairs for each event."""
