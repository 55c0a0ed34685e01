"""Evacuations: data centres whose endpoints get no new flows."""
