"""Endpoints of services, as reported by service discovery."""
