"""Stand-ins for the users' platform: its store, targets, packets, settings.

The fault soak runs them; the programs never import them. They don't use the
adapter's code, so that a fault in its codecs is detected.
"""
