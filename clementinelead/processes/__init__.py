"""The processes: sockets, clocks and timers around the pure decisions."""
