"""Settings of the processes, read from INI files and validated."""
