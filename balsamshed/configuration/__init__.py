"""Configuration: declared resources and a node's copy of them."""
