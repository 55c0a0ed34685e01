"""Adapter between the platform's protocol and the product's types.

Names of the platform's protocol are used in this package only.
"""
