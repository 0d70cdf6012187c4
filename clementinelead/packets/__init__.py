"""IPv4 packets of callers: flow keys, header fields, replies."""
