"""Endpoints of services as service discovery reports them."""
