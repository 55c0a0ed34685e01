"""Test doubles of the systems around balsamshed, and tests that use them.

This package is not shipped.
"""
