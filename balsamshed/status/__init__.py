"""Status of the configuration in force on each member."""
