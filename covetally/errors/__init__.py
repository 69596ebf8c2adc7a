"""The base class of all errors that leave a package, and its families. Each error has a stable code, a message,
and a remedy for the operator. docs/operators/errors.md is generated from them: `python -m
covetally.errors.page`."""

from __future__ import annotations


class CindersailError(Exception):
    """The base class of errors that an operator may have to know about.

    `code` is stable across versions, `status` is the HTTP status of the API, `exit_status` that of the command.
    `remedy` is a sentence in the imperative; an instance may replace it with a more specific one.
    """

    code = "failed"
    remedy = "Look at the log of the process that reported it, and report the failure with that log."
    status = 500
    exit_status = 1

    def __init__(self, message: str = "", remedy: str = "") -> None:
        super().__init__(message)
        self.message = message
        if remedy:
            self.remedy = remedy

    def as_dict(self) -> dict[str, str]:
        """Return the error as a JSON object, for the API and --json."""
        return {"code": self.code, "error": self.message, "remedy": self.remedy}

    def as_line(self) -> str:
        """Return the error in one line, for the command and the log."""
        return f"{self.message} [{self.code}]: {self.remedy}"


class ConfigurationError(CindersailError):
    """The request or the configuration is not valid."""

    code = "configuration"
    remedy = "Correct the named key, and check the file with `cindersail check FILE` before it is used."
    status = 400
    exit_status = 2


class ContactError(CindersailError):
    """Another process cannot be reached or does not answer."""

    code = "contact"
    remedy = "Check that the named process runs and can be reached from here, then try again."
    status = 504


class RefusedError(CindersailError):
    """A rule does not allow the operation now."""

    code = "refused"
    remedy = "Wait until the named condition is over, or change the named rule."
    status = 409


class DamagedError(CindersailError):
    """Received or stored data cannot be parsed."""

    code = "damaged"
    remedy = "Check the program that wrote the data; none of the data was used."
    status = 422


class OverloadedError(CindersailError):
    """The load exceeds the capacity."""

    code = "overloaded"
    remedy = "Try again after the time that the answer states."
    status = 503
