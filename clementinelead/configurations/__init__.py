"""Configuration: services, sheets, edits, merges and the stored revision."""
