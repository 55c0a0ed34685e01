"""Flows and the backend servers they were placed on."""
