"""What a mutant is: one rule that is broken on purpose, and the tests that must notice."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Mutant:
    """One deliberate breakage.

    Attributes
    ----------
    name : str
        What is broken.
    place : object
        Class or module.
    attribute : str
        What of it is replaced.
    broken : object
        The replacement.
    tests : str
        pytest's node that must fail.
    """

    name: str
    target: object
    attribute: str
    replacement: object
    tests: str
