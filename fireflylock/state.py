"""The platform's values as this VM holds them: by revision, never backwards."""

from dataclasses import dataclass, field

from fireflylock.store import Value


@dataclass
class StateCache:
    """Values by key.

    Attributes
    ----------
    values : dict of str to Value
        The newest value of each key that was seen.
    revision : int
        Every change up to this revision of the platform is held; 0 when nothing is known.
    """

    values: dict[str, Value] = field(default_factory=dict)
    revision: int = 0

    def apply(self, values: list[Value], since_revision: int, revision: int) -> list[str]:
        """Take values that are newer than the held ones.

        Parameters
        ----------
        values : list of Value
            All the changes after `since_revision` up to `revision`.
        since_revision, revision : int
            What the values span; with a gap before them the newer values are taken all the
            same, but what is held stays incomplete.

        Returns
        -------
        list of str
            The keys that changed.
        """
        changed = []
        for value in values:
            held = self.values.get(value.key)
            if held is not None and held.revision >= value.revision:
                continue
            self.values[value.key] = value
            changed.append(value.key)
        if since_revision <= self.revision < revision:
            self.revision = revision
        return changed

    def since(self, revision: int) -> list[Value]:
        """Return the held values that are newer than `revision`, oldest first."""
        newer = [value for value in self.values.values() if value.revision > revision]
        return sorted(newer, key=lambda value: value.revision)

    def get(self, key: str) -> Value | None:
        """Return the value of `key`; None when it is unknown or was deleted."""
        value = self.values.get(key)
        if value is None or not value.data:
            return None
        return value
