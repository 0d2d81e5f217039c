"""Authentication and authorization of operators by tokens."""

import enum
import hashlib
import hmac
import re
import secrets
from dataclasses import dataclass
from pathlib import Path

from fireflylock.config_fields import NAME_PATTERN
from fireflylock.configuration_rules import Scope
from fireflylock.exceptions import ErrorKind, RequestError, SettingsError
from fireflylock.model import Configuration

ALL_TEAMS = "*"
TOKEN_BYTES = 32
_HASH = re.compile(r"[0-9a-f]{64}")


class Role(enum.Enum):
    """What a token permits; `OPERATE` includes `READ`."""

    READ = "read"
    OPERATE = "operate"


@dataclass(frozen=True)
class Principal:
    """A user of the admin API.

    Attributes
    ----------
    name : str
        Recorded in the history as the author.
    role : Role
        What the user may do.
    team : str
        Team whose services the user may change, or `ALL_TEAMS`.
    """

    name: str
    role: Role
    team: str

    def may_change(self, service_team: str) -> bool:
        """Return whether the user may change the services of a team."""
        if self.role is not Role.OPERATE:
            return False
        return self.team in (ALL_TEAMS, service_team)


ANONYMOUS = Principal("anonymous", Role.OPERATE, ALL_TEAMS)


@dataclass(frozen=True)
class TokenRecord:
    """One line of the tokens file.

    Attributes
    ----------
    principal : Principal
        Owner of the token.
    digest : str
        SHA-256 of the token, in hexadecimal; the token itself is not stored.
    """

    principal: Principal
    digest: str

    def line(self) -> str:
        """Return the line of the tokens file."""
        principal = self.principal
        return f"{principal.name} {principal.role.value} {principal.team} {self.digest}"


def new_token(principal: Principal) -> tuple[str, TokenRecord]:
    """Return a new random token and its record for the tokens file."""
    token = secrets.token_urlsafe(TOKEN_BYTES)
    return token, TokenRecord(principal, digest_of(token))


def digest_of(token: str) -> str:
    """Return the hash that is stored; a random token needs no salt."""
    return hashlib.sha256(token.encode("utf-8", "surrogatepass")).hexdigest()


def read_tokens(path: str | Path) -> list[TokenRecord]:
    """Return the tokens file's records.

    Raises
    ------
    SettingsError
        Lists every error, without showing the content of the lines.
    """
    try:
        text = Path(path).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([f"{path}: cannot be read ({type(error).__name__})."]) from None
    records, problems = [], []
    for number, line in enumerate(text.splitlines(), 1):
        words = line.split()
        if not words or words[0].startswith("#"):
            continue
        if not _is_record(words):
            problems.append(
                f"{path}: line {number}: allowed: NAME, read or operate, TEAM or *, SHA-256 hash."
            )
            continue
        name, role, team, digest = words
        records.append(TokenRecord(Principal(name, Role(role), team), digest))
    if problems:
        raise SettingsError(problems)
    return records


def _is_record(words: list[str]) -> bool:
    """Return whether the words of a line form a valid record."""
    if len(words) != 4:
        return False
    name, role, team, digest = words
    if re.fullmatch(NAME_PATTERN, name, re.ASCII) is None:
        return False
    if team != ALL_TEAMS and re.fullmatch(NAME_PATTERN, team, re.ASCII) is None:
        return False
    return role in {known.value for known in Role} and _HASH.fullmatch(digest) is not None


class TokenAuthenticator:
    """Identifies the sender of an admin request by its token.

    Parameters
    ----------
    records : list of TokenRecord or None
        None: tokens are not used, and everyone who can reach the API may do everything;
        the settings allow this on loopback only.
    """

    def __init__(self, records: list[TokenRecord] | None = None) -> None:
        self.records = records

    def identify(self, authorization: str) -> Principal:
        """Return who sent an ``Authorization`` header.

        Raises
        ------
        RequestError
            No known token was sent (unauthorized).
        """
        if self.records is None:
            return ANONYMOUS
        scheme, _, token = authorization.partition(" ")
        digest = digest_of(token.strip())
        found = None
        # All records are compared, so that the duration does not reveal which one matched.
        for record in self.records:
            if hmac.compare_digest(record.digest, digest):
                found = record.principal
        if found is None or scheme.lower() != "bearer":
            raise RequestError(ErrorKind.UNAUTHORIZED)
        return found


def require_role(principal: Principal, role: Role) -> None:
    """Reject a principal whose role is insufficient.

    Raises
    ------
    RequestError
        The role is insufficient (forbidden).
    """
    if role is Role.OPERATE and principal.role is not Role.OPERATE:
        raise RequestError(ErrorKind.FORBIDDEN, f"{principal.name} may only read")


def require_scope(
    principal: Principal, scope: Scope, old: Configuration, new: Configuration
) -> None:
    """Reject a change that affects services of other teams.

    Raises
    ------
    RequestError
        Lists everything that the principal may not change (forbidden).
    """
    refused = []
    for name in sorted(scope.services):
        for configuration in (old, new):
            service = configuration.services.get(name)
            if service is not None and not principal.may_change(service.team):
                refused.append(f"service {name} of team {service.team or '(none)'}")
                break
    if scope.entry_vms and not principal.may_change(ALL_TEAMS):
        refused.append("entry VMs, which belong to no team")
    if refused:
        raise RequestError(
            ErrorKind.FORBIDDEN, f"{principal.name} may not change {', '.join(refused)}"
        )
