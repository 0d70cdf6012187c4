"""Adapter to the Majlis platform; nothing else knows the platform's names."""
