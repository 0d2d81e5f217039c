"""Mutants: one rule each that is broken on purpose, and the tests that must fail."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Mutant:
    """One deliberate fault.

    Attributes
    ----------
    name : str
        Description of the fault.
    target : object
        Class or module that is patched.
    attribute : str
        Attribute that is replaced.
    replacement : object
        The replacement.
    tests : str
        pytest node that must fail.
    """

    name: str
    target: object
    attribute: str
    replacement: object
    tests: str
