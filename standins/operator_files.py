"""Configurations and settings files as the operator of the users' platform writes them."""

import json

HOST = "shop.example"
ROUTE_COLUMNS = ["name", "host", "prefix", "kind", "timeout", "targetLatency", "priority"]
ROUTE_COLUMNS += ["service", "attempts", "trafficSplit"]
SERVICE_COLUMNS = ["name", "healthCheckPath", "maxConnections", "sharded"]

# Safe and unsafe requests to a keyed service, and safe requests to a service without keys.
ROUTES = [
    ["read", HOST, "/read/", "safe", "2000ms", "500ms", 2, "orders", 2, None],
    ["place", HOST, "/place/", "unsafe", "2000ms", "500ms", 1, "orders", 2, None],
    ["plain", HOST, "/plain/", "safe", "2000ms", "500ms", 2, "files", 2, None],
]
SERVICES = [["orders", "/health", 100, True], ["files", "/health", 100, None]]

SETTINGS = """
[self]
node = "{vm}"
zone = "{zone}"
ipAddress = "{host}"
[self.limits]
fileDescriptors = 1024
[network]
internalPorts = [{peer}, {peer}]
[network.listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
[platform.platform]
address = "{store}"
writesPerS = 400
readsPerS = 2000
minTtl = "1000ms"
[terms.bounds]
drain = "2s"
grace = "6s"
maxHold = "10s"
"""


def config_json(
    version: int = 1,
    routes: list[list] | None = None,
    services: list[list] | None = None,
    service_columns: list[str] | None = None,
) -> bytes:
    """Return a configuration as JSON."""
    return json.dumps(
        {
            "version": version,
            "routes": {"columns": ROUTE_COLUMNS, "rows": ROUTES if routes is None else routes},
            "services": {
                "columns": service_columns or SERVICE_COLUMNS,
                "rows": SERVICES if services is None else services,
            },
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 1000000,
                "headerTimeout": "3000ms",
                "idleTimeout": "15000ms",
            },
            "baseVersion": 0,
        }
    ).encode()


def settings_toml(
    vm: str, zone: str, host: str, ports: tuple[int, int, int], store: tuple[str, int]
) -> str:
    """Return the settings file of an entry VM as TOML.

    Parameters
    ----------
    vm, zone, host : str
        Name, availability zone and address of the VM.
    ports : tuple of int
        Ports for callers, for the readiness check, and for other VMs.
    store : tuple of (str, int)
        Address of the store.
    """
    front, ready, peer = ports
    address = f"{store[0]}:{store[1]}"
    return SETTINGS.format(
        vm=vm, zone=zone, host=host, front=front, ready=ready, peer=peer, store=address
    )
