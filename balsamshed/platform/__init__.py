"""Translation between the users' platform and the product's types.

Nothing outside this package knows a name of the platform's protocol.
"""
