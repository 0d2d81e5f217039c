"""CURVE keys of entry VMs: making them, and the files they are kept in."""

import os
import re
from dataclasses import dataclass, field
from pathlib import Path

import zmq

from fireflylock.exceptions import SettingsError

_Z85 = re.compile(rb"[0-9a-zA-Z.\-:+=^!/*?&<>()\[\]{}@%$#]{40}")
_PUBLIC = b"public"
_SECRET = b"secret"


@dataclass(frozen=True)
class KeyPair:
    """The keys of one entry VM, in Z85.

    Attributes
    ----------
    public, secret : bytes
        40 characters each; the secret one is left out of `repr`.
    """

    public: bytes
    secret: bytes = field(repr=False)


def new_keys() -> KeyPair:
    """Return a new random key pair."""
    public, secret = zmq.curve_keypair()
    return KeyPair(public, secret)


def write_keys(path: str | Path, keys: KeyPair) -> None:
    """Write a key pair to a new file that only its owner can read.

    Raises
    ------
    FileExistsError
        The file exists; keys are never overwritten.
    """
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    with os.fdopen(descriptor, "wb") as file:
        file.write(_PUBLIC + b" " + keys.public + b"\n" + _SECRET + b" " + keys.secret + b"\n")


def read_keys(path: str | Path) -> KeyPair:
    """Return the key pair in a file.

    Raises
    ------
    SettingsError
        The file is missing, open to others, or holds no key pair.
    """
    data = _read(path)
    if Path(path).stat().st_mode & 0o077:
        raise SettingsError([f"{path}: open to others; allowed: mode 0600."])
    found = {}
    for line in data.splitlines():
        name, _, value = line.partition(b" ")
        if name in (_PUBLIC, _SECRET) and _Z85.fullmatch(value.strip()):
            found[name] = value.strip()
    if len(found) != 2:
        raise SettingsError([f"{path}: no key pair; allowed: what `fireflylock keys new` writes."])
    return KeyPair(found[_PUBLIC], found[_SECRET])


def read_known_keys(path: str | Path) -> dict[str, bytes]:
    """Return the public keys of the entry VMs, by name; one ``NAME KEY`` a line.

    Raises
    ------
    SettingsError
        Lists every line that is not valid.
    """
    found: dict[str, bytes] = {}
    problems = []
    for number, line in enumerate(_read(path).splitlines(), 1):
        words = line.split()
        if not words or words[0].startswith(b"# ") or words[0] == b"#":
            continue
        name = words[0].decode("ascii", "replace")
        if len(words) != 2 or not _Z85.fullmatch(words[1]):
            problems.append(f"{path}: line {number}: allowed: a VM's name and its public key.")
            continue
        if name in found:
            problems.append(f"{path}: line {number}: {name} stands twice.")
            continue
        found[name] = words[1]
    if problems:
        raise SettingsError(problems)
    return found


def _read(path: str | Path) -> bytes:
    """Return the content of a file."""
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror or error}."]) from None
