"""Both deployments on one machine, with real traffic, losses and a closing table."""
