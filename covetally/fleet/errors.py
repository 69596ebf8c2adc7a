"""The error that the agent returns when it refuses an operator's request."""

from __future__ import annotations

from typing import Any

from covetally.errors import RefusedError


class AgentRefusedError(RefusedError):
    """The agent refuses an operator's request. `code` is bad_input, unknown, conflict, busy, refused, unreachable
    or recovering; `data` holds the details for the answer."""

    code = "agent-refused"
    remedy = "Read the reason in the answer, and send the request again once it no longer applies."

    def __init__(self, code: str, text: str, **data: Any) -> None:
        super().__init__(text)
        self.code, self.data = code, data
