"""A small deployment for the cases of the second review: real entry VMs, stand-ins around them."""
