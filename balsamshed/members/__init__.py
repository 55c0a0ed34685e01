"""Members of a group and the ownership of flows."""
