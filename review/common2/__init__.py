"""Stand-ins of the second review's scripts; standard library only."""
