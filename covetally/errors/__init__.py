"""The root of all errors that leave a package, and their families. Each has a code that stays, what happened, and
what an operator can do about it. docs/operators/errors.md is made from them: `python -m
covetally.errors.page`."""

from __future__ import annotations


class CindersailError(Exception):
    """Something went wrong that an operator may have to know of.

    `code` stays the same over versions, `status` is the API's answer, `exit_status` the command's. `remedy` is a
    sentence in the imperative; one that belongs to the case at hand may be given in its place.
    """

    code = "failed"
    remedy = "Look at the log of the process that said it, and report it with that log."
    status = 500
    exit_status = 1

    def __init__(self, message: str = "", remedy: str = "") -> None:
        super().__init__(message)
        self.message = message
        if remedy:
            self.remedy = remedy

    def as_dict(self) -> dict[str, str]:
        """For the API and --json."""
        return {"code": self.code, "error": self.message, "remedy": self.remedy}

    def as_line(self) -> str:
        """For the command and the log, in one line."""
        return f"{self.message} [{self.code}]: {self.remedy}"


class ConfigurationError(CindersailError):
    """What was asked for, or configured, cannot be had."""

    code = "configuration"
    remedy = "Correct the named key, and check the file with `cindersail check FILE` before it is used."
    status = 400
    exit_status = 2


class ContactError(CindersailError):
    """Another process cannot be reached, or does not answer."""

    code = "contact"
    remedy = "See that the named process runs and can be reached from here, then ask again."
    status = 504


class RefusedError(CindersailError):
    """A rule forbids it now."""

    code = "refused"
    remedy = "Wait until the named condition is over, or change the rule by name."
    status = 409


class DamagedError(CindersailError):
    """Bytes or kept state that cannot be read."""

    code = "damaged"
    remedy = "Look at what wrote it; it is left aside and nothing of it is used."
    status = 422


class OverloadedError(CindersailError):
    """More was asked than can be done."""

    code = "overloaded"
    remedy = "Ask again after the time that the answer names."
    status = 503
