"""Repeats a task of a source, such as reading a registry, until it is cancelled."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import NoReturn

log = logging.getLogger(__name__)


async def repeat(name: str, step: Callable[[], Awaitable[float]], error_pause_s: float) -> NoReturn:
    """Run `step` again and again; it returns the pause until the next time, in seconds.

    A step that raises is logged, once for equal errors in a row, and repeated after `error_pause_s`: what is due
    next does not depend on how the last step ended.
    """
    last_error = ""
    while True:
        try:
            pause_s = await step()
            last_error = ""
        except Exception as error:
            pause_s, text = error_pause_s, repr(error)
            if text != last_error:
                log.exception("%s failed: trying again in %.1f s", name, pause_s)
            last_error = text
        await asyncio.sleep(pause_s)
