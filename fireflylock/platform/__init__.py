"""Adapter to the users' platform: converts its names, formats and calls to internal types."""
