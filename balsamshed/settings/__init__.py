"""Settings of the processes: parsing, validation and defaults."""
