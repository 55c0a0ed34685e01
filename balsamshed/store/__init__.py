"""Use of the platform's object store."""
