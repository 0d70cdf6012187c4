"""Stand-ins for the users' platform: its store, targets, packets, settings.

The fault soak plays them; the programs never import them. They are written
apart from the adapter, so that a fault of its codecs shows.
"""
