"""Cache of the platform's values on this VM; values never go back to older revisions."""

from dataclasses import dataclass, field

from fireflylock.store import Value


@dataclass
class StateCache:
    """Newest known values by key.

    Attributes
    ----------
    values : dict of str to Value
        The newest known value of each key.
    revision : int
        Every change up to this revision of the platform is included; 0 when none is.
    """

    values: dict[str, Value] = field(default_factory=dict)
    revision: int = 0

    def apply(self, values: list[Value], since_revision: int, revision: int) -> list[str]:
        """Store values that are newer than the cached ones.

        Parameters
        ----------
        values : list of Value
            All the changes after `since_revision` up to `revision`.
        since_revision, revision : int
            The range of the values.  After a gap the newer values are stored as well, but the
            cache stays incomplete and its revision unchanged.

        Returns
        -------
        list of str
            The keys that changed.
        """
        changed = []
        for value in values:
            cached = self.values.get(value.key)
            if cached is not None and cached.revision >= value.revision:
                continue
            self.values[value.key] = value
            changed.append(value.key)
        if since_revision <= self.revision < revision:
            self.revision = revision
        return changed

    def since(self, revision: int) -> list[Value]:
        """Return the cached values that are newer than `revision`, oldest first."""
        newer = [value for value in self.values.values() if value.revision > revision]
        return sorted(newer, key=lambda value: value.revision)

    def get(self, key: str) -> Value | None:
        """Return the value of `key`; None when it is unknown or was deleted."""
        value = self.values.get(key)
        if value is None or not value.data:
            return None
        return value
