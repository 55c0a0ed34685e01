"""Choice of a backend server for a new flow."""
