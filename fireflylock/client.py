"""The tool's client of the admin API: one blocking HTTP exchange at a time, on h11."""

import json
import socket
import ssl
from typing import Any
from urllib.parse import quote, urlencode

import h11

from fireflylock.config_fields import split_endpoint
from fireflylock.exceptions import FireflylockError

READ_BYTES = 65536
# Time for each step when other VMs are asked for what they add to an answer.
OTHERS_SECONDS = 2.0


class AdminError(FireflylockError):
    """The admin API refused a request.

    Parameters
    ----------
    kind : str
        The error kind, by its public name.
    detail : str
        What is wrong.
    outcome : str
        Whether a change may have been made all the same.
    """

    def __init__(self, kind: str, detail: str, outcome: str) -> None:
        super().__init__(f"{kind}: {detail}" if detail else kind)
        self.kind = kind
        self.detail = detail
        self.outcome = outcome


class AdminUnreachableError(FireflylockError):
    """The admin API could not be asked, or its answer did not arrive."""


class AdminClient:
    """Asks the admin API of one entry VM.

    Parameters
    ----------
    endpoint : str
        ``ip:port``.
    token : str
        Sent with every request; empty for none.
    ca_file : str
        PEM file with the certificates to trust; empty for plain HTTP.
    timeout : float
        Seconds for each step of an exchange.
    """

    def __init__(
        self, endpoint: str, token: str = "", ca_file: str = "", timeout: float = 10.0
    ) -> None:
        self.endpoint = endpoint
        self.address = split_endpoint(endpoint)
        self.token = token
        self.ca_file = ca_file
        self.timeout = timeout

    def others(self, members: list[dict[str, Any]]) -> "list[AdminClient]":
        """Return clients of the other live entry VMs in the answer's list of members."""
        found = []
        for member in members:
            endpoint = member["admin_address"]
            if member["alive"] and endpoint and endpoint != self.endpoint:
                found.append(AdminClient(endpoint, self.token, self.ca_file, OTHERS_SECONDS))
        return found

    def get(self, *path: str, **query: str) -> Any:
        """Return the answer to a GET of ``/v1/`` and the parts of the path.

        Raises
        ------
        AdminError
            The API refused.
        AdminUnreachableError
            There is no answer.
        """
        return self.ask("GET", path, query)

    def post(self, *path: str, **body: Any) -> Any:
        """Return the answer to a POST with a JSON body; raises as `get` does."""
        return self.ask("POST", path, {}, body)

    def put(self, *path: str, **body: Any) -> Any:
        """Return the answer to a PUT with a JSON body; raises as `get` does."""
        return self.ask("PUT", path, {}, body)

    def ask(
        self,
        method: str,
        path: tuple[str, ...],
        query: dict[str, str],
        body: dict[str, Any] | None = None,
    ) -> Any:
        """Return the decoded answer to one request; raises as `get` does."""
        target = "/v1/" + "/".join(quote(part, safe="") for part in path)
        if query:
            target += "?" + urlencode(query)
        data = json.dumps(body).encode() if body is not None else b""
        try:
            status, answer = self.exchange(method, target, data)
            decoded = json.loads(answer)
        except (OSError, h11.ProtocolError, ValueError) as error:
            reason = f"{self.endpoint}: {error or type(error).__name__}"
            raise AdminUnreachableError(reason) from None
        if status != 200:
            raise AdminError(
                decoded.get("error", str(status)),
                decoded.get("detail", ""),
                decoded.get("outcome", ""),
            )
        return decoded

    def exchange(self, method: str, target: str, data: bytes) -> tuple[int, bytes]:
        """Return status and body of one HTTP exchange on a connection of its own."""
        http = h11.Connection(h11.CLIENT)
        headers = [("Host", self.endpoint), ("Content-Length", str(len(data)))]
        headers += [("Connection", "close"), ("Content-Type", "application/json")]
        if self.token:
            headers.append(("Authorization", f"Bearer {self.token}"))
        with self.connect() as connection:
            request = h11.Request(method=method, target=target, headers=headers)
            connection.sendall(http.send(request) or b"")
            connection.sendall(http.send(h11.Data(data=data)) or b"")
            connection.sendall(http.send(h11.EndOfMessage()) or b"")
            return self.receive(http, connection)

    def receive(self, http: h11.Connection, connection: socket.socket) -> tuple[int, bytes]:
        """Return status and body of the answer."""
        status = 0
        chunks = []
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(connection.recv(READ_BYTES))
                continue
            if isinstance(event, h11.Response):
                status = event.status_code
            if isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                return status, b"".join(chunks)

    def connect(self) -> socket.socket:
        """Return a new connection, with TLS when a `ca_file` is given."""
        plain = socket.create_connection(self.address, self.timeout)
        if not self.ca_file:
            return plain
        try:
            context = ssl.create_default_context(cafile=self.ca_file)
            return context.wrap_socket(plain, server_hostname=self.address[0])
        except OSError:
            plain.close()
            raise
