"""What one sidecar decides together with all others by words: the overload line, tenants' connection caps. Put
together from the configuration; imported only where operators ask for it."""

from __future__ import annotations

import logging
import secrets
from collections.abc import Callable
from typing import Any

from covetally.caps import Cap, Caps
from covetally.caps.gate import Gate
from covetally.caps.member import CLIENT, NODE, Use
from covetally.caps.settings import Plan as CapsPlan
from covetally.configuration import Configuration
from covetally.interface import Allotted, Event, Settings
from covetally.net.clock import Clock
from covetally.net.frontend import Frontend
from covetally.net.sidecar import Sidecar
from covetally.overload.levels import level_name
from covetally.overload.member import Member
from covetally.overload.pins import parse_pin
from covetally.overload.settings import OverloadConfig
from covetally.words import Part
from covetally.words.shell import Parts, Shell, Speaker

log = logging.getLogger("covetally")


class Spoken:
    """The parts that speak, for as long as they are wanted."""

    def __init__(
        self, clock: Clock, send: Callable[[int, bytes], None], sidecar: Sidecar, frontend: Frontend
    ) -> None:
        self._clock, self._send, self._sidecar, self._frontend = clock, send, sidecar, frontend
        self._life = secrets.randbits(32)
        self._line: Member | None = None
        self._caps: Caps | None = None
        self._gate: Gate | None = None
        self._marks: dict[int, int] = {}  # by tenant: the mark of its cap on client connections
        self._nodes: set[int] = set()  # tenants with a cap on connections to nodes
        self._pin = ""
        self._rung = 0
        self.shell: Shell | None = None

    def adopt(self, configuration: Configuration) -> None:
        """Take part as is wanted now."""
        now = self._clock.now()
        speakers: dict[Part, Speaker] = {}
        if (plan := configuration.overload) is not None:
            speakers[Part.LINE] = self._with_line(now, plan, configuration.config.settings)
        elif self._line is not None:
            self._line = self._sidecar.watcher = None
            self._pin = ""
        if (caps := configuration.caps) is not None:
            speakers[Part.CAPS] = self._with_caps(now, caps, configuration.config.settings)
        elif self._caps is not None:
            self._without_caps(now)
        if self.shell is not None and set(self.shell.speakers) != set(speakers):
            self.shell.stop(leave=False)
            self.shell = None
        if speakers and self.shell is None:
            self.shell = Shell(Parts(self._clock.now, self._send, self._advise), speakers)
            self.shell.start()
        elif self.shell is not None:
            self.shell.again()

    # --- the line -------------------------------------------------------------------------------

    def _with_line(self, now: int, plan: OverloadConfig, settings: Settings) -> Member:
        line = self._line
        if line is None:
            seed = secrets.randbits(64)
            line = Member(plan.me, plan.size, self._life, seed, now, settings, plan.policy)
            self._line = self._sidecar.watcher = line
        if plan.size != line.size:
            line.resize(plan.size)
        line.policy = plan.policy
        if plan.pin != self._pin:
            # One that stands in the settings again after it lapsed, unchanged, is not a new one.
            self._pin = plan.pin
            line.pin = parse_pin(plan.pin, now) if plan.pin else None
            log.info("overload line: %s", f"an operator's hand on it: {plan.pin}" if plan.pin else "let go")
        return line

    def _advise(self, event: Event) -> None:
        self._sidecar.advise(event)
        line = self._line
        if line is None or line.threshold.level == self._rung:
            return
        log.info(
            "overload line: %s (%s, load %.2f of where it moves, %d voters)",
            level_name(line.threshold.level), line.threshold.transition.value, line.threshold.load,
            line.threshold.voters,
        )  # fmt: skip
        self._rung = line.threshold.level

    # --- caps -----------------------------------------------------------------------------------

    def _with_caps(self, now: int, plan: CapsPlan, settings: Settings) -> Caps:
        self._marks = {cap.tenant: cap.rule.mark for cap in plan.caps if cap.kind == CLIENT}
        nodes = {cap.tenant for cap in plan.caps if cap.kind == NODE}
        for tenant in self._nodes - nodes:
            self._sidecar.advise(Allotted(tenant, True, None))
        self._nodes = nodes
        if self._caps is None:
            self._gate = Gate(self._clock.now, self._usable, min(c.aim_ns for c in settings.classes))
            self._caps = Caps(plan.me, self._life, now, plan.caps, self._look)
            self._frontend.gate = self._gate
            log.info("caps: %s", ", ".join(f"{cap.rule.name} = {cap.rule.amount}" for cap in plan.caps))
        else:
            self._caps.change(now, plan.caps)
        return self._caps

    def _without_caps(self, now: int) -> None:
        for tenant in self._nodes:
            self._sidecar.advise(Allotted(tenant, True, None))
        self._caps = self._gate = self._frontend.gate = None
        self._nodes, self._marks = set(), {}

    def _usable(self, tenant: int) -> int | None:
        mark = self._marks.get(tenant)
        return None if mark is None or self._caps is None else self._caps.held(self._clock.now(), mark)

    def _look(self, now: int, cap: Cap) -> Use:
        if cap.kind == CLIENT:
            assert self._gate is not None
            return self._gate.look(now, cap)
        assert self._caps is not None
        usable = self._caps.held(now, cap.rule.mark)
        asked = self._sidecar.demand().get((cap.tenant, True), 0)
        # Who is refused is gone at once, so how many more there would be is not known: doubling finds it.
        return Use(min(asked, usable), max(2, usable // 2) if asked > usable else 0)

    # --- both -----------------------------------------------------------------------------------

    def heard(self, sender: int, data: bytes) -> None:
        """A word of another sidecar."""
        if self.shell is not None:
            self.shell.heard(sender, data)

    def stop(self) -> None:
        """Take no part any more: what is held goes back."""
        if self.shell is not None:
            self.shell.stop()
        self.shell = self._line = self._sidecar.watcher = None
        if self._caps is not None:
            self._without_caps(self._clock.now())
        self._pin = ""

    def line_table(self) -> dict[str, Any]:
        """The line, for operators."""
        if self._line is None:
            return {"off": "overload.mode is off here"}
        return self._line.table(self._clock.now())

    def caps_table(self) -> dict[str, Any]:
        """The caps, for operators."""
        if self._caps is None or self._gate is None:
            return {"off": "no caps here"}
        return {
            "caps": self._caps.table(self._clock.now()),
            "refused": self._gate.refused, "closed": self._gate.closed,
        }  # fmt: skip
