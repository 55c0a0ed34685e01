"""What balancers tell each other: load, suspicions and the store's revision."""
