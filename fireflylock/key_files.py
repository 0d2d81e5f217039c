"""Files that hold the CURVE keys of entry VMs."""

import os
import re
from pathlib import Path

from fireflylock.config import PeersSection
from fireflylock.exceptions import SettingsError
from fireflylock.peer_keys import CurveKeys

_Z85 = re.compile(r"[0-9a-zA-Z.\-:+=^!/*?&<>()\[\]{}@%$#]{40}")
_PUBLIC = "public"
_SECRET = "secret"


def write_keys(path: str | Path, keys: CurveKeys) -> None:
    """Write a key pair to a new file that only its owner can read.

    Raises
    ------
    FileExistsError
        The file exists; keys are never overwritten.
    """
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    with os.fdopen(descriptor, "w", encoding="ascii") as file:
        file.write(f"{_PUBLIC} {keys.public}\n{_SECRET} {keys.secret}\n")


def read_keys(path: str | Path) -> CurveKeys:
    """Return the key pair in a file, without the known keys of other VMs.

    Raises
    ------
    SettingsError
        The file is missing, accessible to other users, or holds no key pair.
    """
    text = _read_file(path)
    if Path(path).stat().st_mode & 0o077:
        raise SettingsError([f"{path}: accessible to other users; allowed: mode 0600."])
    parsed = {}
    for line in text.splitlines():
        name, _, value = line.partition(" ")
        if name in (_PUBLIC, _SECRET) and _Z85.fullmatch(value.strip()):
            parsed[name] = value.strip()
    if len(parsed) != 2:
        raise SettingsError([f"{path}: no key pair; allowed: what `fireflylock keys new` writes."])
    return CurveKeys(parsed[_PUBLIC], parsed[_SECRET])


def read_known_keys(path: str | Path) -> dict[str, str]:
    """Return the public keys of the entry VMs, by name; one ``NAME KEY`` a line.

    Raises
    ------
    SettingsError
        Lists every line that is not valid.
    """
    parsed: dict[str, str] = {}
    problems = []
    for number, line in enumerate(_read_file(path).splitlines(), 1):
        words = line.split()
        if not words or words[0].startswith("#"):
            continue
        name = words[0]
        if len(words) != 2 or not _Z85.fullmatch(words[1]):
            problems.append(f"{path}: line {number}: allowed: a VM's name and its public key.")
            continue
        if name in parsed:
            problems.append(f"{path}: line {number}: {name} is listed twice.")
            continue
        parsed[name] = words[1]
    if problems:
        raise SettingsError(problems)
    return parsed


def peer_keys(section: PeersSection) -> CurveKeys | None:
    """Return the keys that the settings refer to, or None if connections are not encrypted.

    Raises
    ------
    SettingsError
        One of the files is not valid.
    """
    if not section.key_file:
        return None
    own = read_keys(section.key_file)
    return CurveKeys(own.public, own.secret, read_known_keys(section.known_keys))


def _read_file(path: str | Path) -> str:
    """Return the content of a file."""
    try:
        return Path(path).read_text("ascii", "replace")
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror or error}."]) from None
