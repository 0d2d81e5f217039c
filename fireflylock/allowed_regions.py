"""Which availability zones' servers may run a request whose route names allowed regions.

Several may bind one request, such as its route and its organisation; what all of them allow
remains.  A zone of which no region is known is in none of them.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

Regions = frozenset[str]


def common_regions(*bindings: Regions | None) -> Regions | None:
    """Return the regions that all bindings allow; None stands for no binding."""
    common = None
    for allowed in bindings:
        if allowed is None:
            continue
        common = allowed if common is None else common & allowed
    return common


@dataclass(frozen=True)
class ZoneRegions:
    """The region of each availability zone.

    Attributes
    ----------
    by_zone : mapping of str to str
        Region of each zone, for those where it is known.
    """

    by_zone: Mapping[str, str] = field(default_factory=dict)

    def allows(self, allowed: Regions | None, zone: str) -> bool:
        """Return whether servers of a zone may run a request that is bound to some regions."""
        if allowed is None:
            return True
        region = self.by_zone.get(zone)
        return region is not None and region in allowed

    def unknown_in(self, allowed: Collection[str]) -> list[str]:
        """Return the regions among some that no zone is in, which are most likely misspelt."""
        return sorted(set(allowed) - set(self.by_zone.values()))
