"""Processes: sockets, clocks and timers around the decision logic."""
