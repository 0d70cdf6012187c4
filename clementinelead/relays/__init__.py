"""Relaying of flows through side processes that own them.

Each side process sits in front of one target, and reports whether it accepts
new flows and holds a given flow. Packets of a flow that it does not hold are
returned to the balancer.
"""
