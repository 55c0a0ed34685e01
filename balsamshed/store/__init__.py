"""Access to the platform's object store, without its transport."""
