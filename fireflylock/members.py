"""The membership table: one row per member, and the rules by which rows are merged."""

from dataclasses import dataclass

import msgspec
import xxhash

from fireflylock.messages import MemberRow
from fireflylock.ring import ring_order


@dataclass(frozen=True)
class MemberView:
    """One member as this VM sees it.

    Attributes
    ----------
    name, zone, region, peer_address : str
        Identity, location and address.
    incarnation : int
        Grows with every start of the daemon under this name.
    alive : bool
        False once enough of its monitors no longer receive its heartbeats.
    reachable : bool
        False while its zone is cut off from this VM's zone.
    leaving : bool
        Whether the platform's VM list says that the VM will be removed soon.
    config_version : int
        Version of the configuration that it has in force.
    """

    name: str
    zone: str
    region: str
    peer_address: str
    incarnation: int
    alive: bool
    reachable: bool
    leaving: bool
    config_version: int


class MemberTable:
    """Rows by name; members that have merged the same updates hold equal tables.

    Attributes
    ----------
    rows : dict of str to MemberRow
        The newest row of each member, lost ones included.
    generation : int
        Incremented with every change.
    topology_version : int
        Incremented when a member joins, is lost or forgotten, or changes its zone or address.
    digest : int
        Checksum over the live rows.
    """

    def __init__(self) -> None:
        self.rows: dict[str, MemberRow] = {}
        self.generation = 0
        self.topology_version = 0
        self.digest = 0
        self.rings: dict[str, list[str]] = {}

    def merge(self, row: MemberRow) -> bool:
        """Merge a row; return whether it changed the table."""
        known = self.rows.get(row.name)
        if known is None:
            # The loss of a member that was never known is ignored.
            return row.alive and self._store(row)
        if _precedence(row) > _precedence(known):
            if row.incarnation == known.incarnation:
                version = max(row.config_version, known.config_version)
                row = msgspec.structs.replace(row, config_version=version)
            return self._store(row)
        return self.merge_version(row.name, row.incarnation, row.config_version)

    def merge_version(self, name: str, incarnation: int, version: int) -> bool:
        """Merge a member's configuration version; return whether it changed the table."""
        known = self.rows.get(name)
        if known is None or known.incarnation != incarnation:
            return False
        if version <= known.config_version:
            return False
        return self._store(msgspec.structs.replace(known, config_version=version))

    def forget(self, name: str) -> None:
        """Drop a lost member's row."""
        row = self.rows.pop(name)
        self._record_change(row, None)

    def is_alive(self, name: str) -> bool:
        """Return whether `name` is known and not lost."""
        row = self.rows.get(name)
        return row is not None and row.alive

    def zones(self) -> list[str]:
        """Return the zones that have live members."""
        self._fill_rings()
        return list(self.rings)

    def ring(self, zone: str) -> list[str]:
        """Return the live members of a zone, in the order of its ring."""
        self._fill_rings()
        return self.rings.get(zone, [])

    def _fill_rings(self) -> None:
        """Recompute the rings after a change."""
        if self.rings:
            return
        zones: dict[str, list[str]] = {}
        for row in self.rows.values():
            if row.alive:
                zones.setdefault(row.zone, []).append(row.name)
        self.rings = {zone: ring_order(zones[zone]) for zone in sorted(zones)}

    def _store(self, row: MemberRow) -> bool:
        known = self.rows.get(row.name)
        self.rows[row.name] = row
        self._record_change(known, row)
        return True

    def _record_change(self, old: MemberRow | None, new: MemberRow | None) -> None:
        self.generation += 1
        self.digest ^= _checksum(old) ^ _checksum(new)
        same_topology = (
            old is not None and new is not None and _topology_fields(old) == _topology_fields(new)
        )
        if not same_topology:
            self.topology_version += 1
            self.rings = {}


def _precedence(row: MemberRow) -> tuple[int, int, bool]:
    """Return the sort key of rows by age; a loss takes precedence over the same incarnation."""
    return row.incarnation, row.refutation, not row.alive


def _topology_fields(row: MemberRow) -> tuple[str, str, bool]:
    return row.zone, row.address, row.alive


def _checksum(row: MemberRow | None) -> int:
    if row is None or not row.alive:
        return 0
    text = f"{row.name}\0{row.incarnation}\0{row.refutation}\0{row.config_version}"
    return xxhash.xxh3_64_intdigest(text.encode())
