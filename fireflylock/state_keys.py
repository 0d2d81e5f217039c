"""Keys under which the system's persistent state is stored in the platform's service."""


class StateKeys:
    """Keys under one prefix.

    Parameters
    ----------
    prefix : str
        Name that separates this system's keys from others in the same service.
    """

    def __init__(self, prefix: str) -> None:
        self.root = f"/{prefix}/"
        self.configuration = f"{self.root}configuration"
        self.history = f"{self.root}history"
        self.assignments = f"{self.root}assignment/"
