"""Reads the platform's VM list in the Prometheus HTTP service-discovery format."""

from datetime import timedelta
from email.utils import parsedate_to_datetime

from pydantic import BaseModel, TypeAdapter, ValidationError

from fireflylock.exceptions import PlatformError, ProtocolError
from fireflylock.http_client import HTTPClient, HTTPResponse
from fireflylock.model import PlatformVM, VMList
from fireflylock.store import CallCounts

VERSION_HEADER = "x-list-version"
LEAVING = "leaving"
ENTRY_KIND = "entry"


class VMLabels(BaseModel):
    """The labels of one group of targets."""

    vm: str
    zone: str = ""
    region: str = ""
    state: str = "live"
    kind: str = ENTRY_KIND


class TargetGroup(BaseModel):
    """One group of targets."""

    targets: list[str]
    labels: VMLabels


_groups = TypeAdapter(list[TargetGroup])


class VMListReader:
    """Reads the VM list.

    Parameters
    ----------
    url : str
        The URL at which the platform serves the list.
    timeout : timedelta
        Timeout of one call.

    Attributes
    ----------
    newest : VMList or None
        The list with the highest version so far.
    """

    def __init__(self, url: str, timeout: timedelta = timedelta(seconds=2)) -> None:
        self.client = HTTPClient(url)
        self.timeout = timeout
        self.newest: VMList | None = None
        self.counts = CallCounts()

    async def read(self) -> VMList:
        """Read the list; return the newest one so far, which may be an earlier one.

        Raises
        ------
        PlatformError
            The list could not be read or is not valid.
        """
        self.counts.calls["vm_list"] += 1
        try:
            answer = await self.client.call("GET", "", self.timeout)
            read = read_vm_list(answer)
        except (OSError, TimeoutError, ProtocolError) as error:
            self.counts.failures["vm_list"] += 1
            raise PlatformError(f"the list of VMs cannot be read: {error!r}") from error
        if self.newest is None or read.version > self.newest.version:
            self.newest = read
        return self.newest

    def close(self) -> None:
        """Close every connection."""
        self.client.close()


def read_vm_list(answer: HTTPResponse) -> VMList:
    """Return the list in an answer of the service-discovery endpoint.

    Raises
    ------
    ProtocolError
        The answer is not a list of target groups, or has no version.
    """
    if answer.status != 200:
        raise ProtocolError(f"status {answer.status}")
    try:
        groups = _groups.validate_json(answer.body)
    except ValidationError as error:
        raise ProtocolError(f"not a list of target groups: {error}") from error
    vms = {}
    for group in groups:
        labels = group.labels
        address = group.targets[0] if group.targets and labels.kind == ENTRY_KIND else ""
        leaving = labels.state == LEAVING
        vms[labels.vm] = PlatformVM(labels.vm, labels.zone, labels.region, address, leaving)
    return VMList(_version_of(answer), vms)


def _version_of(answer: HTTPResponse) -> int:
    """Return the list's version: the platform's own, or else milliseconds since the epoch."""
    try:
        if VERSION_HEADER in answer.headers:
            return int(answer.headers[VERSION_HEADER])
        changed = parsedate_to_datetime(answer.headers["last-modified"])
    except (KeyError, ValueError) as error:
        raise ProtocolError("the list of VMs carries no version") from error
    return int(changed.timestamp() * 1000)
