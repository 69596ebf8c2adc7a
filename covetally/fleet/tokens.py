"""Access tokens, read from a file with one `NAME RIGHT TOKEN` per line; `#` starts a comment.

RIGHT is reader, operator or instance. For an instance, NAME is a pattern that the instance's name has to match,
so that an instance cannot use its token to claim another instance's name. The file is reloaded when it changes.
If the changed file is unreadable or invalid, the error is logged and the previous tokens stay valid.
"""

from __future__ import annotations

import hmac
import logging
import os
from dataclasses import dataclass
from fnmatch import fnmatchcase
from pathlib import Path

from covetally.errors import ConfigurationError

log = logging.getLogger(__name__)

RIGHTS = ("reader", "operator", "instance")
MIN_TOKEN_LENGTH = 16


class TokenError(ConfigurationError, ValueError):
    """The tokens file has an invalid line; the message gives its number."""

    code = "token-file"
    remedy = "Correct the named line of the tokens file; `cindersail agent --help` shows the format."


@dataclass(frozen=True, slots=True)
class Token:
    """One token of the file: its name, the right it gives, and the secret."""

    name: str
    right: str
    secret: bytes


def parse(text: str) -> list[Token]:
    """Parse the text of a tokens file; raises TokenError for an invalid line."""
    tokens = []
    for number, line in enumerate(text.splitlines(), 1):
        columns = line.partition("#")[0].split()
        if not columns:
            continue
        if len(columns) != 3 or columns[1] not in RIGHTS:
            raise TokenError(
                f"line {number}: must be NAME RIGHT TOKEN, where RIGHT is one of {', '.join(RIGHTS)}"
            )
        if len(columns[2]) < MIN_TOKEN_LENGTH:
            raise TokenError(
                f"line {number}: token has {len(columns[2])} characters, the minimum is {MIN_TOKEN_LENGTH}"
            )
        tokens.append(Token(columns[0], columns[1], columns[2].encode()))
    return tokens


class Tokens:
    """The current tokens of a file. The constructor raises TokenError or OSError if the file cannot be used."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._loaded_version = self._file_version()
        self._tokens = parse(path.read_text())

    def _file_version(self) -> tuple[int, int, int]:
        status = os.stat(self._path)
        return status.st_mtime_ns, status.st_size, status.st_ino

    def _reload_if_changed(self) -> None:
        try:
            version = self._file_version()
            if version != self._loaded_version:
                self._loaded_version = version
                self._tokens = parse(self._path.read_text())
                log.info("%s: reloaded", self._path)
        except (OSError, ValueError) as error:
            log.error("%s: %s: keeping the previous tokens", self._path, error)

    def authenticate(self, secret: str, rights: tuple[str, ...]) -> Token | None:
        """Return the token with this secret if it gives one of `rights`.

        Compares against every token, each in constant time, so that timing does not reveal which one matched.
        """
        self._reload_if_changed()
        found = None
        for token in self._tokens:
            matches = hmac.compare_digest(token.secret, secret.encode(errors="replace"))
            if matches and token.right in rights:
                found = token
        return found

    def admits(self, secret: str, instance: str) -> bool:
        """Whether an instance with this name may connect with this token."""
        token = self.authenticate(secret, ("instance",))
        return token is not None and fnmatchcase(instance, token.name)
