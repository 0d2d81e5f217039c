"""TLS contexts whose certificates can be read again while connections go on."""

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
        What the listener uses.

    Raises
    ------
    SettingsError
        The certificate or its key cannot be used.
    """

    def __init__(self, section: ListenSection) -> None:
        self.section = section
        self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_2
        self.context.set_alpn_protocols(["http/1.1"])
        self.reload()

    def reload(self) -> None:
        """Read certificate and key again; new connections use them, open ones go on.

        Raises
        ------
        SettingsError
            They cannot be used; the ones in use stay.
        """
        # They are tried on a context of their own first, because a context is left with
        # a certificate that does not match its key when the second file is bad.
        trial = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        for context in (trial, self.context):
            try:
                context.load_cert_chain(self.section.tls_certificate, self.section.tls_key)
            except (OSError, ssl.SSLError) as error:
                raise SettingsError(
                    [f"{self.section.tls_certificate}: {error.strerror or error.args[0]}."]
                ) from None


def server_tls(section: ListenSection) -> ServerTLS | None:
    """Return the TLS context that `section` asks for, or None."""
    return ServerTLS(section) if section.tls_certificate else None
