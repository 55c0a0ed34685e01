"""Membership of a group (SWIM) and ownership of hash slots."""
