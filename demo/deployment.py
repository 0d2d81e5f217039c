"""The two published deployments, made small enough for one machine."""

import re
import socket
from dataclasses import dataclass, replace
from pathlib import Path

from fireflylock.auth import ALL_TEAMS, Principal, Role, new_token
from fireflylock.key_files import write_keys
from fireflylock.model import Configuration, EntryVM
from fireflylock.peer_keys import CurveKeys
from fireflylock.sheet import decode_sheet, read_sheet, write_sheet

EXAMPLES = Path(__file__).parent.parent / "examples"
PLATFORM_PORT = 2379
CALLERS_PORT = 8080
# Bound while a demo runs, so that a second one takes other addresses.
RESERVED_PORT = 7099
FIRST_NETWORK = 20
LAST_NETWORK = 120


@dataclass(frozen=True)
class Plan:
    """What of a published deployment the demo runs.

    Attributes
    ----------
    name : str
        Folder below ``examples``.
    servers : dict of str to int
        Backend servers per service.
    service_time_ms : dict of str to float
        Time that a backend server takes for one request.
    lost_server, drained_server, lost_vm : str
        What is killed and drained.
    """

    name: str
    servers: dict[str, int]
    service_time_ms: dict[str, float]
    lost_server: str
    drained_server: str
    lost_vm: str


PLANS = [
    Plan(
        name="litoral",
        servers={"mesa-pedidos": 6, "deposito": 3},
        service_time_ms={"mesa-pedidos": 8.0, "deposito": 5.0},
        lost_server="mesa-pedidos-02",
        drained_server="mesa-pedidos-04",
        lost_vm="entrada-2",
    ),
    Plan(
        name="za-south",
        servers={"club-app": 6, "library-app": 3},
        service_time_ms={"club-app": 6.0, "library-app": 5.0},
        lost_server="club-app-03",
        drained_server="club-app-05",
        lost_vm="entry-2",
    ),
]


class Deployment:
    """One deployment on addresses of its own.

    Parameters
    ----------
    plan : Plan
        What to run.
    folder : Path
        Where settings, the sheet and logs are written.

    Attributes
    ----------
    network : str
        First two numbers of every address, such as ``127.20``.
    configuration : Configuration
        What the sheet states.
    sheet : Path
        The reduced sheet.
    token : str
        An operator's token.
    """

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan = plan
        self.folder = folder
        self.folder.mkdir(parents=True)
        self.reservation, self.network = reserve_network()
        self.configuration = self.reduced()
        self.sheet = folder / "sheet.csv"
        self.sheet.write_text(write_sheet(self.configuration), "utf-8")
        self.token = self.make_secrets()

    @property
    def platform(self) -> str:
        """IP number of the platform stand-in."""
        return f"{self.network}.0.1"

    def vms(self) -> list[EntryVM]:
        """Return the entry VMs, by name."""
        return [self.configuration.vms[name] for name in sorted(self.configuration.vms)]

    def on_network(self, text: str) -> str:
        """Return a published file's text with the addresses of this run."""
        return re.sub(r"\b127\.\d+\.(?=\d+\.\d+)", f"{self.network}.", text)

    def reduced(self) -> Configuration:
        """Return the published sheet's content with fewer backend servers."""
        published = decode_sheet((EXAMPLES / self.plan.name / "sheet.csv").read_bytes())
        whole = read_sheet(self.on_network(published), Configuration())
        kept = {}
        for service, count in self.plan.servers.items():
            for server in whole.servers_of(service)[:count]:
                kept[server.name] = server
        return replace(whole, servers=kept)

    def settings(self, vm: str) -> Path:
        """Write the published settings of `vm` for this run and return the file."""
        text = (EXAMPLES / self.plan.name / f"{vm}.ini").read_text("utf-8")
        # The published settings hold the secrets' files as comments.
        text = text.replace("# tokens_file", "tokens_file")
        text = text.replace("# key_file", "key_file").replace("# known_keys", "known_keys")
        text = text.replace("/etc/fireflylock", str(self.folder.resolve()))
        path = self.folder / f"{vm}.ini"
        path.write_text(self.on_network(text), "utf-8")
        return path

    def make_secrets(self) -> str:
        """Make every VM's keys and one token; return the token."""
        known = []
        for vm in self.vms():
            keys = CurveKeys.new()
            write_keys(self.folder / f"{vm.name}.key", keys)
            known.append(f"{vm.name} {keys.public}\n")
        (self.folder / "known.keys").write_text("".join(known), "ascii")
        token, record = new_token(Principal("demo", Role.OPERATE, ALL_TEAMS))
        (self.folder / "tokens").write_text(f"{record.line()}\n", "utf-8")
        self.token_file.write_text(f"{token}\n", "utf-8")
        return token

    @property
    def token_file(self) -> Path:
        """File that holds the token for the operators' tool."""
        return self.folder / "demo.token"

    def execution_log(self, server: str) -> Path:
        """Return the file of a backend server's execution log."""
        return self.folder / f"{server}.jsonl"

    def platform_rows(self, without: set[str]) -> list[dict[str, str]]:
        """Return the platform's list of VMs, without those that are lost."""
        rows = []
        for vm in self.vms():
            row = {"vm": vm.name, "zone": vm.zone, "region": vm.region, "kind": "entry"}
            rows.append({**row, "address": vm.peer_address, "state": "live"})
        for server in self.configuration.servers.values():
            row = {"vm": server.vm, "zone": server.zone, "region": rows[0]["region"]}
            rows.append({**row, "kind": "backend", "address": "", "state": "live"})
        return [row for row in rows if row["vm"] not in without]

    def close(self) -> None:
        """Give the addresses back."""
        self.reservation.close()


def reserve_network() -> tuple[socket.socket, str]:
    """Return a socket that keeps a part of the loopback network, and its first two numbers."""
    for number in range(FIRST_NETWORK, LAST_NETWORK):
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{number}.0.1", RESERVED_PORT))
        except OSError:
            reservation.close()
            continue
        return reservation, f"127.{number}"
    raise RuntimeError("every part of the loopback network is in use")
