"""Runs the system's processes under named scenarios and audits the result."""
