"""Parsing of callers' IPv4 packets, and packets sent in reply."""
