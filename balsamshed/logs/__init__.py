"""Log lines of key=value pairs."""
