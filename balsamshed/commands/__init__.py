"""Command line of balsamshed."""
