"""A live view of load, hot keys, refusals, moves and cut zones."""

import json
import sys
import time
from collections.abc import Iterator
from typing import Any

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from fireflylock.client import AdminClient, AdminError, AdminUnreachableError

HOT_KEYS_SHOWN = 15


class Top:
    """Shows the load of every service repeatedly.

    Parameters
    ----------
    client : AdminClient
        Client of the admin API.
    as_json : bool
        Print one JSON object per round instead of a live view.
    """

    def __init__(self, client: AdminClient, as_json: bool = False) -> None:
        self.client = client
        self.as_json = as_json

    def run(self, interval: float, rounds: int = 0) -> int:
        """Show views until interrupted, or `rounds` of them; return the exit status."""
        if self.as_json or not sys.stdout.isatty():
            for _ in self.rounds(interval, rounds):
                self.print_round()
            return 0
        with Live(console=Console(), auto_refresh=False, screen=rounds == 0) as live:
            for _ in self.rounds(interval, rounds):
                live.update(self.view(self.collect()), refresh=True)
        return 0

    def rounds(self, interval: float, rounds: int) -> Iterator[int]:
        """Yield once per round, with pauses in between."""
        done = 0
        while True:
            yield done
            done += 1
            if done == rounds:
                return
            time.sleep(interval)

    def collect(self) -> dict[str, Any]:
        """Return the state of all services.

        Only the entry VM that plans a service's moves knows its load, so all VMs are asked.
        """
        status = self.client.get("status")
        clients = [self.client, *self.client.others(status["members"])]
        loads = [self.load(clients, service["name"]) for service in status["services"]]
        return {"status": status, "loads": loads}

    def load(self, clients: list[AdminClient], service: str) -> dict[str, Any]:
        """Return the VM's view of a service with the highest rate, with the moves of all VMs."""
        views = []
        for client in clients:
            try:
                views.append(client.get("services", service, "load"))
            except (AdminError, AdminUnreachableError):
                continue
        highest = max(views, key=lambda view: view["rate"])
        return {**highest, "moves": sum(view["moves"] for view in views)}

    def print_round(self) -> None:
        """Print one round, without a live view."""
        found = self.collect()
        if self.as_json:
            print(json.dumps(found), flush=True)
            return
        Console(width=120).print(self.view(found))

    def view(self, found: dict[str, Any]) -> Group:
        """Return one round as tables."""
        status = found["status"]
        alive = sum(member["alive"] for member in status["members"])
        head = f"{status['vm']}: configuration {status['configuration_version']}, "
        head += f"{alive}/{len(status['members'])} entry VMs alive"
        if status["cut_zones"]:
            head += f", cut off: {', '.join(status['cut_zones'])}"
        services = Table("service", "requests/s", "max/mean", "refused", "moves", "ownerless")
        without = {entry["name"]: entry["units_without_owner"] for entry in status["services"]}
        keys = Table("service", "hot key", "requests/s")
        for load in found["loads"]:
            name = load["service"]
            numbers = [f"{load['rate']:.1f}", f"{load['imbalance']:.2f}", str(load["refused"])]
            services.add_row(name, *numbers, str(load["moves"]), str(without.get(name, 0)))
            for key, rate in load["hot_keys"][:HOT_KEYS_SHOWN]:
                keys.add_row(name, Text(key), f"{rate:.1f}")
        return Group(Text(head), services, keys)
