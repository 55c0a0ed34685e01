"""What each member has in force."""
