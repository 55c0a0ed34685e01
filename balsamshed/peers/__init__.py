"""Reports between balancers: load, suspicions and the store's revision."""
