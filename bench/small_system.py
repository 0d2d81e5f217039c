"""The smallest whole system: platform stand-in, two entry VMs, and one backend server."""

import contextlib
import json
import tempfile
import time
import uuid
from pathlib import Path

from bench.child_processes import ChildProcess, ServingProcess
from demo.deployment import CALLERS_PORT, PLATFORM_PORT, reserve_network
from fireflylock.client import AdminClient, AdminError, AdminUnreachableError

READY_SECONDS = 30.0
POLL_SECONDS = 0.1
ADMIN_PORT = 7300
PEER_PORT = 7400
VMS = ("entry-1", "entry-2")

SETTINGS = """\
[vm]
name = {name}
zone = zone-a
region = bench
[callers]
address = {address}
port = {callers}
[admin]
address = {address}
port = {admin}
[peers]
address = {address}
port = {peers}
seeds = {seeds}
[platform]
endpoints = {platform}
vm_list_url = http://{platform}/vms
[log]
level = warning
"""

SHEET = """\
kind,name,team,keyed,hash_slots,concurrency_limit,connection_limit,checks_grants,path_prefix,key_header,request_timeout
service,bench,bench,yes,64,64,120,yes,/,X-Key,5 min
kind,name,service,vm,zone,address,state
server,s1,bench,backend-vm,zone-a,{server},in
kind,name,zone,region,peer_address,admin_address,state
{vms}
"""


class EntryVM(ChildProcess):
    """A daemon and the address that callers reach it at.

    Parameters
    ----------
    name, host : str
        The VM's name and IP number.
    folder : Path
        Where its settings and its output go.
    settings : str
        Its settings.
    """

    def __init__(self, name: str, host: str, folder: Path, settings: str) -> None:
        file = folder / f"{name}.ini"
        file.write_text(settings, "utf-8")
        super().__init__("fireflylock.daemon", "--config", str(file), log=folder / f"{name}.log")
        self.name = name
        self.host = host
        self.port = CALLERS_PORT
        self.admin = AdminClient(f"{host}:{ADMIN_PORT}")


class SmallSystem(contextlib.ExitStack):
    """Runs the whole system in processes of its own; everything ends with the context.

    Attributes
    ----------
    server : ServingProcess
        The backend server stand-in.
    gate, other : EntryVM
        The entry VM that sends to the server, and the one that hands requests to it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.server: ServingProcess | None = None
        self.gate: EntryVM | None = None
        self.other: EntryVM | None = None

    def __enter__(self) -> "SmallSystem":
        super().__enter__()
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def start(self) -> None:
        """Start every process, apply the sheet, and wait until the server has a gate."""
        folder = Path(self.enter_context(tempfile.TemporaryDirectory()))
        reservation, network = reserve_network()
        self.callback(reservation.close)
        platform = f"{network}.0.1"
        arguments = ("--host", platform, "--port", str(PLATFORM_PORT))
        self.enter_context(
            ChildProcess("standins.platform", *arguments, log=folder / "platform.log")
        )
        self.server = self.enter_context(
            ServingProcess(
                "standins.backend_server",
                *("--name", "s1", "--service", "bench", "--host", f"{network}.1.21"),
                *("--concurrency", "1000", "--connections", "1000"),
            )
        )
        hosts = {name: f"{network}.1.{11 + index}" for index, name in enumerate(VMS)}
        self.publish_vms(f"{platform}:{PLATFORM_PORT}", hosts)
        settings = {name: self.settings(name, hosts, platform) for name in VMS}
        vms = [
            self.enter_context(EntryVM(name, hosts[name], folder, settings[name])) for name in VMS
        ]
        self.apply_sheet(vms)
        gate = wait_for(lambda: gate_of(vms))
        self.gate = next(vm for vm in vms if vm.name == gate)
        self.other = next(vm for vm in vms if vm.name != gate)

    def settings(self, name: str, hosts: dict[str, str], platform: str) -> str:
        """Return the settings of one entry VM."""
        return SETTINGS.format(
            name=name,
            address=hosts[name],
            callers=CALLERS_PORT,
            admin=ADMIN_PORT,
            peers=PEER_PORT,
            seeds=", ".join(f"{host}:{PEER_PORT}" for host in hosts.values()),
            platform=f"{platform}:{PLATFORM_PORT}",
        )

    def publish_vms(self, platform: str, hosts: dict[str, str]) -> None:
        """Tell the platform stand-in which VMs there are."""
        place = {"zone": "zone-a", "region": "bench", "state": "live"}
        rows = [
            {"vm": name, "kind": "entry", "address": f"{host}:{PEER_PORT}", **place}
            for name, host in hosts.items()
        ]
        rows.append({"vm": "backend-vm", "kind": "backend", "address": "", **place})
        data = json.dumps(rows).encode()
        client = AdminClient(platform)
        wait_for(lambda: client.exchange("POST", "/standin/vms", data)[0] == 200)

    def apply_sheet(self, vms: list[EntryVM]) -> None:
        """Apply the sheet as the operators' tool does."""
        rows = [
            f"vm,{vm.name},zone-a,bench,{vm.host}:{PEER_PORT},{vm.host}:{ADMIN_PORT},in"
            for vm in vms
        ]
        server = f"{self.server.host}:{self.server.port}"
        sheet = SHEET.format(server=server, vms="\n".join(rows))
        admin = vms[0].admin
        version = wait_for(lambda: admin.get("status"))["configuration_version"]
        admin.post(
            "sheet",
            "apply",
            sheet=sheet,
            expected_version=version,
            summary="benchmark",
            author="bench",
            change_id=str(uuid.uuid4()),
        )


def gate_of(vms: list[EntryVM]) -> str:
    """Return the name of the server's gate once every unit is owned, else ""."""
    for vm in vms:
        status = vm.admin.get("status")
        services = status["services"]
        if not status["ready"] or not services or services[0]["units_without_owner"]:
            return ""
    return vms[0].admin.get("services", "bench")["servers"][0]["gate"]


def wait_for(question):
    """Return the first true answer to `question`, asked again and again."""
    end = time.monotonic() + READY_SECONDS
    while time.monotonic() < end:
        with contextlib.suppress(AdminError, AdminUnreachableError, OSError):
            if answer := question():
                return answer
        time.sleep(POLL_SECONDS)
    raise RuntimeError("the system did not get ready")
