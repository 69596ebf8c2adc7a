"""Who may: tokens in a file, one to a line, `NAME RIGHT TOKEN`; `#` begins a comment.

RIGHT is reader, operator or instance. For an instance NAME is a pattern that its name has to match, so that one
instance's token does not let it claim another's name. The file is read again when it changes; a file that cannot
be read, or holds a mistake, lets nobody in that it did not let in before, and is logged.
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
SHORTEST = 16


class TokenError(ConfigurationError, ValueError):
    """The tokens file has an invalid line; the message gives its number."""

    code = "token-file"
    remedy = "Correct the named line of the tokens file; `cindersail agent --help` shows the format."


@dataclass(frozen=True, slots=True)
class Token:
    """One line."""

    name: str
    right: str
    secret: bytes


def parse(text: str) -> list[Token]:
    """The tokens of a file; TokenError on any mistake."""
    tokens = []
    for number, line in enumerate(text.splitlines(), 1):
        words = line.partition("#")[0].split()
        if not words:
            continue
        if len(words) != 3 or words[1] not in RIGHTS:
            raise TokenError(f"line {number}: has to be NAME RIGHT TOKEN, RIGHT one of {', '.join(RIGHTS)}")
        if len(words[2]) < SHORTEST:
            raise TokenError(f"line {number}: a token of {len(words[2])} characters, at least {SHORTEST}")
        tokens.append(Token(words[0], words[1], words[2].encode()))
    return tokens


class Tokens:
    """The file's tokens as they are now. TokenError or OSError if it cannot be used at first."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._stamp = self._look()
        self._tokens = parse(path.read_text())

    def _look(self) -> tuple[int, int, int]:
        found = os.stat(self._path)
        return found.st_mtime_ns, found.st_size, found.st_ino

    def _refresh(self) -> None:
        try:
            stamp = self._look()
            if stamp != self._stamp:
                self._stamp = stamp
                self._tokens = parse(self._path.read_text())
                log.info("%s: read again", self._path)
        except (OSError, ValueError) as error:
            log.error("%s: %s: the tokens known before still hold", self._path, error)

    def who(self, secret: str, rights: tuple[str, ...]) -> Token | None:
        """Whose token this is, if it gives one of these rights. All are compared, each in constant time."""
        self._refresh()
        found = None
        for token in self._tokens:
            same = hmac.compare_digest(token.secret, secret.encode(errors="replace"))
            if same and token.right in rights:
                found = token
        return found

    def admits(self, secret: str, instance: str) -> bool:
        """Whether an instance of this name may come with this token."""
        token = self.who(secret, ("instance",))
        return token is not None and fnmatchcase(instance, token.name)
