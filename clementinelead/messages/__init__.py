"""Messages between the system's own processes, encoded with Cap'n Proto."""
