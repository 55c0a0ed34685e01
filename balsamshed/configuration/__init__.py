"""Declared resources and a balancer's replicated catalog of them."""
