"""Membership: gossip, failure detection, dissemination and anti-entropy."""
