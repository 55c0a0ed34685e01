"""Audit trail of configuration changes."""
