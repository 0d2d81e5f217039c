"""Cases of an independent review: faults that break the users' rules."""
