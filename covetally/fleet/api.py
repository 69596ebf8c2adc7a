"""The API for operators: JSON over HTTP with the version in the path, on a Unix socket and optionally on TCP.

Clients on TCP authenticate with a token. Errors are {"error": code, "text": ..., ...} with these statuses:
bad_input 400, denied 401 or 403, unknown 404, conflict, busy and refused 409, recovering 503, unreachable 504.
docs/operators/fleet.md lists the calls.
"""

from __future__ import annotations

import asyncio
import json
import logging
import pwd
import resource
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import fields
from typing import Any

from aiohttp import WSMsgType, web

from covetally.errors import CindersailError
from covetally.fleet.agent import Agent
from covetally.fleet.orders import Command
from covetally.fleet.errors import AgentRefusedError
from covetally.fleet.drains import DrainRequest
from covetally.fleet.audit import Audit
from covetally.fleet.rollout import Plan
from covetally.fleet.tokens import Tokens

log = logging.getLogger(__name__)

VERSIONS = [1]
HTTP_STATUS = {
    "bad_input": 400, "denied": 403, "unknown": 404, "conflict": 409, "busy": 409, "refused": 409,
    "unreachable": 504, "recovering": 503,
}  # fmt: skip
MAX_BODY_BYTES = 1024 * 1024
MAX_WATCHERS = 100

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def error_response(error: AgentRefusedError) -> web.Response:
    """The HTTP response for a request that the agent refuses."""
    body = {"error": error.code, "text": str(error)} | error.data
    return web.json_response(body, status=HTTP_STATUS.get(error.code, 400))


def _peer_user(request: web.Request) -> str:
    """The user at the other end of a Unix socket, from the kernel (unix(7), SO_PEERCRED); empty for TCP."""
    sock = request.transport.get_extra_info("socket") if request.transport is not None else None
    if sock is None or sock.family != socket.AF_UNIX:
        return ""
    data = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
    _, uid, _ = struct.unpack("3i", data)
    try:
        return pwd.getpwuid(uid).pw_name
    except KeyError:
        return f"uid {uid}"


@web.middleware
async def _convert_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Turn exceptions of the handlers into JSON responses."""
    try:
        return await handler(request)
    except AgentRefusedError as error:
        return error_response(error)
    except CindersailError as error:
        return web.json_response(
            error.as_dict() | {"error": error.code, "text": error.as_line()}, status=error.status
        )
    except web.HTTPException as error:
        return web.json_response({"error": "http", "text": error.reason}, status=error.status)
    except asyncio.CancelledError:
        raise
    except Exception:
        log.exception("unexpected error in %s %s", request.method, request.path)
        return web.json_response({"error": "bug", "text": "internal error of the agent; see its log"}, status=500)


def _authentication(tokens: Tokens | None) -> Any:
    """The middleware that identifies the caller by the Unix socket or by a token and checks its right.

    It sets `request["who"]` to the caller's name and `request["may"]` to the right, operator or reader.
    """

    @web.middleware
    async def authenticate(request: web.Request, handler: Handler) -> web.StreamResponse:
        who = _peer_user(request)
        if who:
            request["who"], request["may"] = who, "operator"
            return await handler(request)
        secret = request.headers.get("Authorization", "").removeprefix("Bearer ").strip()
        token = tokens.authenticate(secret, ("reader", "operator")) if tokens is not None else None
        if token is None:
            return web.json_response({"error": "denied", "text": "unknown token"}, status=401)
        request["who"], request["may"] = token.name, token.right
        if token.right == "reader" and request.method not in ("GET", "HEAD"):
            text = f"{token.name} has read access only"
            return web.json_response({"error": "denied", "text": text}, status=403)
        return await handler(request)

    return authenticate


async def _json_body(request: web.Request) -> dict[str, Any]:
    """The body of a request, a JSON object; AgentRefusedError if it is anything else."""
    try:
        body = json.loads(await request.read() or b"{}")
    except (ValueError, RecursionError):
        raise AgentRefusedError("bad_input", "the body is not valid JSON") from None
    if not isinstance(body, dict):
        raise AgentRefusedError("bad_input", "the body is not a JSON object")
    return body


MAX_DRAIN_S = 86_400  # a day


def _field(body: dict[str, Any], key: str, kind: type | tuple[type, ...], default: Any) -> Any:
    """The field `key` of a body, or the default; AgentRefusedError if its type is not `kind`."""
    value = body.get(key, default)
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is int):
        raise AgentRefusedError("bad_input", f"{key} has the wrong type: {value!r:.60}")
    return value


def _parse_floors(rows: list[Any]) -> tuple[tuple[str, float, bool], ...]:
    """Parse floors from JSON rows [zone, capacity, whether it is a share]; zone may also be "all" or "each"."""
    floors = []
    for row in rows:
        if not (
            isinstance(row, list)
            and len(row) == 3
            and isinstance(row[0], str)
            and isinstance(row[2], bool)
            and isinstance(row[1], int | float)
            and not isinstance(row[1], bool)
            and 0 <= row[1] < 1e9
        ):
            raise AgentRefusedError(
                "bad_input", f"floors: {row!r:.60} is not [zone, capacity, whether it is a share]"
            )
        floors.append((row[0], float(row[1]), row[2]))
    return tuple(floors)


def _path_number(request: web.Request) -> int:
    """The number in a path; AgentRefusedError if it is longer than any number in use."""
    text = request.match_info["number"]
    if len(text) > 15:
        raise AgentRefusedError("unknown", f"no such number: {text:.40}")
    return int(text)


_BOUNDS = {
    "canary": (0, 100_000), "max_out": (1, 100_000), "soak_s": (0, 86_400), "max_worse": (0, 1),
    "min_answers": (0, 1_000_000), "max_refused": (0, 100_000), "instance_s": (0.1, 86_400),
    "whole_s": (1, 30 * 86_400),
}  # fmt: skip


def plan_from(table: dict[str, Any], defaults: Plan) -> Plan:
    """Build a plan from its JSON; AgentRefusedError names the first invalid key."""
    values: dict[str, Any] = {f.name: getattr(defaults, f.name) for f in fields(Plan)}
    for key, value in table.items():
        if key not in values:
            raise AgentRefusedError("bad_input", f"plan.{key}: no such key; there are {', '.join(values)}")
        if key in _BOUNDS:
            minimum, maximum = _BOUNDS[key]
            is_integer = isinstance(values[key], int) and not isinstance(values[key], bool)
            is_number = isinstance(value, int if is_integer else (int, float)) and not isinstance(value, bool)
            if not is_number or not minimum <= value <= maximum:
                raise AgentRefusedError(
                    "bad_input", f"plan.{key} = {value!r:.60}: must be from {minimum} to {maximum}"
                )
        elif key == "shares":
            valid = isinstance(value, list) and all(
                isinstance(x, int | float) and not isinstance(x, bool) and 0 < x <= 1 for x in value
            )
            if not valid or sorted(value) != value or len(value) > 100:
                raise AgentRefusedError(
                    "bad_input", "plan.shares: must be increasing numbers above 0 and at most 1"
                )
            value = tuple(value)
        elif key == "restart" and not isinstance(value, bool):
            raise AgentRefusedError("bad_input", "plan.restart: must be true or false")
        elif key == "on_trouble" and value not in ("pause", "undo"):
            raise AgentRefusedError("bad_input", "plan.on_trouble: must be pause or undo")
        values[key] = value
    return Plan(**values)


RESTART_PLAN = Plan(canary=1, shares=(1.0,), max_out=1, soak_s=1.0, instance_s=60.0)


class Api:
    """The handlers of the API's calls."""

    def __init__(self, agent: Agent, audit: Audit) -> None:
        self._agent, self._audit = agent, audit

    def routes(self) -> list[web.RouteDef]:
        """The routes of all calls."""
        return [
            web.get("/versions", self.versions),
            web.get("/v1/status", self.status),
            web.get("/v1/instances", self.instances),
            web.get("/v1/instances/{name}", self.instance),
            web.get("/v1/instances/{name}/logs", self.logs),
            web.delete("/v1/instances/{name}", self.forget),
            web.get("/v1/revisions", self.revisions),
            web.get("/v1/revisions/{number:\\d+}", self.revision),
            web.post("/v1/revisions", self.change),
            web.get("/v1/rollouts", self.rollouts),
            web.get("/v1/rollouts/{number:\\d+}", self.rollout),
            web.post("/v1/rollouts/{number:\\d+}/{what:pause|resume|abort|undo}", self.steer),
            web.post("/v1/restart", self.restart),
            web.post("/v1/{what:drain|resume|believe|hold|auto}", self.order),
            web.get("/v1/rosters", self.rosters),
            web.get("/v1/tiers", self.tiers),
            web.get("/v1/lines", self.lines),
            web.get("/v1/caps", self.caps),
            web.get("/v1/drains", self.drains),
            web.post("/v1/drains", self.drain_start),
            web.post("/v1/drains/{what:halt|resume|back}", self.drain_steer),
            web.post("/v1/drains/write-off/{name}", self.write_off),
            web.get("/v1/freezes", self.freezes),
            web.post("/v1/freezes", self.freeze),
            web.delete("/v1/freezes/{number:\\d+}", self.thaw),
            web.get("/v1/audit", self.audit),
            web.get("/v1/watch", self.watch),
        ]

    async def versions(self, request: web.Request) -> web.Response:
        """List the API versions that the agent serves."""
        return web.json_response({"versions": VERSIONS, "service": "cindersail agent"})

    async def status(self, request: web.Request) -> web.Response:
        """Return the state of the agent and its resource usage."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        resource_usage = {"cpu_s": round(usage.ru_utime + usage.ru_stime, 3), "max_rss_kib": usage.ru_maxrss}
        return web.json_response(self._agent.status() | resource_usage)

    async def instances(self, request: web.Request) -> web.Response:
        """List the instances that a selector matches, with their orders."""
        found = self._agent.select(request.query.get("selector", ""))
        orders = self._agent.orders
        tables = [i.as_dict() | {"orders": orders.as_dict(i.name)} for i in found]
        return web.json_response({"instances": tables, "head": self._agent.head().number})

    async def instance(self, request: web.Request) -> web.Response:
        """Return one instance, with its desired settings and, if it is connected, its snapshot."""
        name = request.match_info["name"]
        instance = self._agent.instances.get(name)
        if instance is None:
            raise AgentRefusedError("unknown", f"there is no instance {name}")
        desired = {
            "wanted": self._agent.drafts.desired_settings(instance),
            "orders": self._agent.orders.as_dict(name),
        }
        table = instance.as_dict() | desired
        if instance.connected:
            try:
                table["snapshot"] = await self._agent.instance_requests.ask(name, "snapshot")
            except AgentRefusedError as error:
                table["note"] = str(error)
        return web.json_response(table)

    async def logs(self, request: web.Request) -> web.Response:
        """Return recent log lines of an instance."""
        return web.json_response(
            {"lines": await self._agent.instance_requests.ask(request.match_info["name"], "logs")}
        )

    async def forget(self, request: web.Request) -> web.Response:
        """Delete the record of an instance that is not connected."""
        self._agent.forget(request["who"], request.match_info["name"])
        return web.json_response({"forgotten": request.match_info["name"]})

    async def revisions(self, request: web.Request) -> web.Response:
        """List the revisions."""
        return web.json_response({"revisions": [r.as_dict() for r in self._agent.revisions()]})

    async def revision(self, request: web.Request) -> web.Response:
        """Return one revision with its document."""
        return web.json_response(self._agent.revision(_path_number(request)).as_dict(whole=True))

    async def change(self, request: web.Request) -> web.Response:
        """Create a revision and roll it out, or show with `dry_run` what would change.

        Unless `anyway` is set, the affected instances are asked first, and the change is refused if one of them
        would refuse it.
        """
        body = await _json_body(request)
        put = body.get("put")
        if put is not None and not isinstance(put, dict):
            raise AgentRefusedError("bad_input", "put is not a JSON object")
        overlap = body.get("overlap", "refuse")
        if overlap not in ("refuse", "queue", "supersede"):
            raise AgentRefusedError("bad_input", "overlap must be refuse, queue or supersede")
        who, reason = request["who"], _field(body, "reason", str, "")[:1000]
        plan = plan_from(_field(body, "plan", dict, {}), Plan())
        draft = self._agent.draft(
            who=who,
            parent=_field(body, "parent", int, -1),
            reason=reason,
            selector=_field(body, "selector", str, ""),
            put=put,
            set_=_field(body, "set", dict, {}),
            unset=[str(key) for key in _field(body, "unset", list, [])],
        )
        dry_run, anyway = (_field(body, key, bool, False) for key in ("dry_run", "anyway"))
        if dry_run or not anyway:
            result = await self._agent.drafts.preflight(draft)
            if dry_run:
                return web.json_response(self._agent.drafts.preview(draft) | {"asked": result.as_dict()})
            if result.refused:
                raise AgentRefusedError("refused", result.text(), asked=result.as_dict())
        return web.json_response(self._agent.change(draft, who, reason, plan, overlap))

    async def rollouts(self, request: web.Request) -> web.Response:
        """List the rollouts."""
        now = self._agent.rollout_time()
        return web.json_response({"rollouts": [r.as_dict(now) for r in self._agent.rollouts()]})

    async def rollout(self, request: web.Request) -> web.Response:
        """Return one rollout with its members."""
        record = self._agent.rollout_record(_path_number(request))
        return web.json_response(record.as_dict(self._agent.rollout_time(), whole=True))

    async def steer(self, request: web.Request) -> web.Response:
        """Pause, resume, abort or undo a rollout."""
        body = await _json_body(request)
        number, what = _path_number(request), request.match_info["what"]
        reason = _field(body, "reason", str, "")[:1000]
        return web.json_response(self._agent.steer(request["who"], number, what, reason))

    async def restart(self, request: web.Request) -> web.Response:
        """Roll out a restart of the instances that a selector matches."""
        body = await _json_body(request)
        done = self._agent.restart(
            who=request["who"],
            reason=_field(body, "reason", str, "")[:1000],
            selector=_field(body, "selector", str, ""),
            plan=plan_from(_field(body, "plan", dict, {}), RESTART_PLAN),
            dry_run=_field(body, "dry_run", bool, False),
        )
        return web.json_response(done)

    async def order(self, request: web.Request) -> web.Response:
        """Send an order to the instances that a selector matches."""
        body = await _json_body(request)
        what, selector = request.match_info["what"], _field(body, "selector", str, "")
        if not self._agent.select(selector):
            raise AgentRefusedError("unknown", f"no instance matches {selector!r}")
        within_s = _field(body, "within_s", (int, float, type(None)), None)
        if within_s is not None and (what != "drain" or not 0 <= within_s < MAX_DRAIN_S):
            raise AgentRefusedError(
                "bad_input", f"within_s is {within_s!r:.40}: must be the seconds of a drain, under {MAX_DRAIN_S}"
            )
        reason = _field(body, "reason", str, "")[:1000]
        results = await self._agent.order(Command(what, request["who"], reason, within_s), selector)
        return web.json_response({"instances": results})

    async def rosters(self, request: web.Request) -> web.Response:
        """Return the membership view of the instances."""
        answers = await self._agent.ask_all(request.query.get("selector", ""), "roster")
        return web.json_response({"instances": answers})

    async def drains(self, request: web.Request) -> web.Response:
        """Return the state of the drain order."""
        return web.json_response(self._agent.drains.as_dict())

    async def drain_start(self, request: web.Request) -> web.Response:
        """Start a drain order, or return its plan with `dry_run`."""
        body = await _json_body(request)
        selector, what = _field(body, "selector", str, ""), _field(body, "what", str, "restart")
        if what not in ("restart", "drain"):
            raise AgentRefusedError("bad_input", f"what = {what!r:.60}: must be restart or drain")
        found = self._agent.select(selector)
        if not found:
            raise AgentRefusedError("unknown", f"no instance matches {selector!r}")
        times = {
            key: float(_field(body, key, (int, float), default))
            for key, default in (("drain_s", 5.0), ("return_s", 10.0), ("warm_s", 0.0), ("after_loss", 0.0))
        }
        drain_request = DrainRequest(
            tuple(i.name for i in found), what, _parse_floors(_field(body, "floors", list, [])), **times
        )
        if _field(body, "dry_run", bool, False):
            return web.json_response({"plan": self._agent.drains.preview(drain_request)})
        return web.json_response(self._agent.start_drain(
            request["who"], drain_request, _field(body, "reason", str, "")[:1000], selector
        ))  # fmt: skip

    async def drain_steer(self, request: web.Request) -> web.Response:
        """Halt, resume or revert the drain order."""
        body = await _json_body(request)
        what, reason = request.match_info["what"], _field(body, "reason", str, "")[:1000]
        return web.json_response(self._agent.drains.steer(request["who"], what, reason))

    async def write_off(self, request: web.Request) -> web.Response:
        """Record that an instance of the drain order will not come back."""
        return web.json_response(self._agent.drains.write_off(request["who"], request.match_info["name"]))

    async def freezes(self, request: web.Request) -> web.Response:
        """List the freezes."""
        return web.json_response({"freezes": self._agent.freezes.as_dicts(self._agent.clock.now())})

    async def freeze(self, request: web.Request) -> web.Response:
        """Add a freeze."""
        body = await _json_body(request)
        for_s = body.get("for_s")
        if not isinstance(for_s, int | float) or isinstance(for_s, bool) or not 1 <= for_s <= 2_592_000:
            raise AgentRefusedError("bad_input", f"for_s = {for_s!r:.60}: must be from 1 to 2592000")
        texts = [_field(body, key, str, "")[:1000] for key in ("selector", "reason", "through")]
        made = self._agent.freeze(request["who"], float(for_s), *texts)
        return web.json_response({"freeze": made})

    async def thaw(self, request: web.Request) -> web.Response:
        """Lift a freeze before its end."""
        number = _path_number(request)
        return web.json_response({"freeze": self._agent.thaw(request["who"], number)})

    async def lines(self, request: web.Request) -> web.Response:
        """Return the overload state of the instances."""
        answers = await self._agent.ask_all(request.query.get("selector", ""), "overload")
        return web.json_response({"instances": answers})

    async def caps(self, request: web.Request) -> web.Response:
        """Return the state of the tenants' limits at the instances."""
        answers = await self._agent.ask_all(request.query.get("selector", ""), "caps")
        return web.json_response({"instances": answers})

    async def tiers(self, request: web.Request) -> web.Response:
        """Return the tier state of the instances."""
        answers = await self._agent.ask_all(request.query.get("selector", ""), "tier")
        return web.json_response({"instances": answers})

    async def audit(self, request: web.Request) -> web.Response:
        """Return the newest entries of the audit log."""
        text = request.query.get("count", "100")
        count = min(10_000, int(text)) if text.isdigit() else 100
        return web.json_response({"acts": self._audit.tail(count)})

    async def watch(self, request: web.Request) -> web.StreamResponse:
        """Send updates on a WebSocket as they happen: {"rollout": ...} or {"instance": ...}."""
        if len(self._agent.watchers.queues) >= MAX_WATCHERS:
            raise AgentRefusedError("busy", f"{MAX_WATCHERS} clients are watching already")
        websocket = web.WebSocketResponse(heartbeat=20.0, max_msg_size=4096)
        await websocket.prepare(request)
        queue: asyncio.Queue[dict[str, Any]] = asyncio.Queue(1000)
        self._agent.watchers.queues.add(queue)
        closed = asyncio.create_task(_until_closed(websocket))
        try:
            while not closed.done():
                update = asyncio.create_task(queue.get())
                await asyncio.wait([update, closed], return_when=asyncio.FIRST_COMPLETED)
                if not update.done():
                    update.cancel()
                    break
                await websocket.send_json(update.result())
        except ConnectionError:
            pass
        finally:
            self._agent.watchers.queues.discard(queue)
            closed.cancel()
        return websocket


async def _until_closed(websocket: web.WebSocketResponse) -> None:
    """Read and discard messages until the client closes the WebSocket."""
    async for message in websocket:
        if message.type in (WSMsgType.CLOSE, WSMsgType.ERROR):
            return


def application(agent: Agent, audit: Audit, tokens: Tokens | None) -> web.Application:
    """Build the aiohttp application of the API; without `tokens`, TCP clients are denied."""
    app = web.Application(middlewares=[_convert_errors, _authentication(tokens)], client_max_size=MAX_BODY_BYTES)
    app.add_routes(Api(agent, audit).routes())
    return app
