"""Sending straight from the entry VM that took a request to the server that owns its key."""
