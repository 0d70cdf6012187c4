"""Configuration: services, changes, sheets, and the one revision in force."""
