"""Stand-ins for external systems in tests and demos; not part of the shipped package."""
