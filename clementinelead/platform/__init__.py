"""Adapter to the Majlis platform.

No other package uses the platform's names of settings, keys and messages.
"""
