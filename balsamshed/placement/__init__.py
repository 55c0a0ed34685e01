"""Placement: choice of a backend server or endpoint for a new flow."""
