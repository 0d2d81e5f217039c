"""TLS contexts whose certificates can be reloaded while connections stay open."""

import ssl

from fireflylock.config import ListenSection
from fireflylock.exceptions import SettingsError


class ServerTLS:
    """The TLS context of one listening address.

    Parameters
    ----------
    section : ListenSection
        Names the certificate and its key; both must be set.

    Attributes
    ----------
    context : ssl.SSLContext
        Context for the listening socket.

    Raises
    ------
    SettingsError
        The certificate or its key is unusable.
    """

    def __init__(self, section: ListenSection) -> None:
        self.section = section
        self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_2
        self.context.set_alpn_protocols(["http/1.1"])
        self.reload()

    def reload(self) -> None:
        """Reload certificate and key for new connections; open ones are not affected.

        Raises
        ------
        SettingsError
            They are unusable; the current ones stay in use.
        """
        # They are loaded into a separate context first, because a failure in the second
        # file leaves a context with a certificate that does not match its key.
        test_context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        for context in (test_context, self.context):
            try:
                context.load_cert_chain(self.section.tls_certificate, self.section.tls_key)
            except (OSError, ssl.SSLError) as error:
                raise SettingsError(
                    [f"{self.section.tls_certificate}: {error.strerror or error.args[0]}."]
                ) from None


def server_tls(section: ListenSection) -> ServerTLS | None:
    """Return the TLS context configured in `section`, or None."""
    return ServerTLS(section) if section.tls_certificate else None
