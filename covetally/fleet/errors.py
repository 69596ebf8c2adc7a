"""The error that the agent returns when it refuses an operator's request."""

from __future__ import annotations

from typing import Any

from covetally.errors import RefusedError


class AgentRefusedError(RefusedError):
    """The agent does not do what an operator asks. `code` is conflict, busy, bad_input, unknown or recovering;
    `data` has what the operator needs to know."""

    code = "agent-refused"
    remedy = "Read what is in the way, and ask again once it is gone; the answer names it."

    def __init__(self, code: str, text: str, **data: Any) -> None:
        super().__init__(text)
        self.code, self.data = code, data
