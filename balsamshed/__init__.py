"""Layer-4 load balancer for small operators."""

__version__ = '0.1.0'
