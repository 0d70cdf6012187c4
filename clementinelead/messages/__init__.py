"""Codecs of messages between balancers and side processes (Cap'n Proto)."""
