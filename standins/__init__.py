"""Small stand-ins for the outside systems; not part of the shipped package."""
