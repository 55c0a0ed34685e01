"""Flow table, packets, and the replication and derivation of flow entries."""
