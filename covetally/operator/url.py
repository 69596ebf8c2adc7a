"""Parses the URLs of external systems in operator settings."""

from __future__ import annotations

from dataclasses import dataclass
from ipaddress import ip_address
from urllib.parse import urlsplit


@dataclass(frozen=True, slots=True)
class Url:
    """The parsed URL of a registry. `path` has no trailing slash."""

    host: str
    port: int
    path: str

    @property
    def origin(self) -> tuple[str, int]:
        """The host and the port."""
        return self.host, self.port

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"http://{host}:{self.port}{self.path}"


def split_url(text: str) -> Url:
    """Parse a URL. Raises ValueError if it is not http://A.B.C.D:PORT/PATH; host names are not resolved."""
    parts = urlsplit(text.strip())
    port = parts.port if parts.port is not None else 80
    if parts.scheme != "http" or parts.username is not None or parts.query or parts.fragment or port < 1:
        raise ValueError(f"not a URL of the form http://A.B.C.D:PORT/PATH: {text!r}")
    if any(not 0x20 < ord(c) < 0x7F for c in parts.path):
        raise ValueError(f"invalid characters in the path: {parts.path!r}")
    return Url(str(ip_address(parts.hostname or "")), port, parts.path.rstrip("/"))
