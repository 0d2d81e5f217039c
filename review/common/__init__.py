"""What the cases share."""
