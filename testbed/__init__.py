"""Test doubles of the systems around balsamshed; not shipped."""
