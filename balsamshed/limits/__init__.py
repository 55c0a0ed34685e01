"""Limits on concurrent work and on retries."""
