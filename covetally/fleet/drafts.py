"""Drafts of changes: the revision that a change would create, its effect, and which instances would refuse it."""

from __future__ import annotations

import time
from collections.abc import Mapping
from typing import Any

from covetally.control.protocol import digest
from covetally.fleet import preflight
from covetally.fleet.instance_requests import InstanceRequests
from covetally.fleet.document import Document, Layer, difference
from covetally.fleet.errors import AgentRefusedError
from covetally.fleet.registry import Instance
from covetally.fleet.rollout_record import Draft
from covetally.fleet.selector import Selector, parse
from covetally.fleet.store import Revision, Store
from covetally.operator import check
from covetally.operator.schema import Values


def recovered_document(reports: list[Instance]) -> Document:
    """Reconstruct the desired settings from what instances report, for a store that was lost. The most common
    settings become the layer for all instances; every instance with other settings gets a layer of its own."""
    by_digest: dict[str, list[Instance]] = {}
    for instance in reports:
        by_digest.setdefault(instance.digest, []).append(instance)
    largest = max(by_digest.values(), key=lambda group: (len(group), group[0].name))
    layers = [Layer(Selector(), dict(largest[0].values))] if largest[0].values else []
    for instance in sorted(reports, key=lambda i: i.name):
        if instance.digest != largest[0].digest:
            layers.append(Layer(parse(f"name={instance.name}"), dict(instance.values)))
    return Document(tuple(layers))


class Drafts:
    """Prepares changes from the stored state; writes nothing."""

    def __init__(
        self, store: Store, instances: Mapping[str, Instance], instance_requests: InstanceRequests
    ) -> None:
        self._store, self._instances, self._instance_requests = store, instances, instance_requests

    def draft(
        self, who: str, parent: int, reason: str, selector: Selector, put: Mapping[str, Any] | None,
        set_: Mapping[str, Any], unset: list[str],
    ) -> Draft:  # fmt: skip
        """Build the revision that a change would create on top of `parent`, without writing it.
        AgentRefusedError if the change is invalid or `parent` is no longer the newest revision.

        `put` replaces the layer of `selector`; without it, `set_` and `unset` change single keys of the layer.
        """
        head = self._store.head()
        if parent != head.number:
            raise self.conflict(parent, head)
        layer = dict(put) if put is not None else head.document.layer(selector)
        if put is None:
            missing = [key for key in unset if key not in layer]
            if missing:
                raise AgentRefusedError("bad_input", f"{missing[0]} is not set for {str(selector) or 'all'}")
            layer = {k: v for k, v in (layer | dict(set_)).items() if k not in unset}
        values = self._validate_layer(layer)
        made = head.document.with_layer(selector, values)
        changes = difference(head.document, made)
        if not changes:
            raise AgentRefusedError("bad_input", "this changes nothing", head=head.number)
        self._validate_effective(made)
        number = self.next_revision(head)
        revision = Revision(number, head.number, time.time(), who, reason, str(selector), made.digest(), made)
        affected = [i for i in self._instances.values() if selector.matches(i.name, i.labels)]
        return Draft(revision, selector, changes, affected)

    def preview(self, draft: Draft) -> dict[str, Any]:
        """The effect that a draft would have on each instance."""
        would = self._effects(draft.affected, draft.revision)
        return {"dry_run": True, "revision": draft.revision.number, "changes": draft.changes, "would": would}

    async def preflight(self, draft: Draft) -> preflight.PreflightResult:
        """Ask each instance that a draft affects whether it would accept its settings."""
        document = draft.revision.document
        desired = {i.name: document.effective(i.name, i.labels) for i in draft.affected if not i.left}

        async def ask_instance(name: str) -> Any:
            return await self._instance_requests.answer_of(name, "would", values=desired[name])

        return preflight.summarize(await preflight.ask_all(desired, ask_instance))

    def desired_settings(self, instance: Instance) -> dict[str, Any]:
        """The desired settings of an instance, and which layer sets each of them."""
        revision = self._store.revision(max(0, instance.assigned))
        if revision is None:
            return {}
        values = revision.document.effective(instance.name, instance.labels)
        origin = revision.document.origins(instance.name, instance.labels)
        return {"revision": revision.number, "digest": digest(values), "values": values, "origin": origin}

    def next_revision(self, head: Revision) -> int:
        """The next revision number. It is above every revision that an instance has: instances refuse revisions
        older than their own, so a store restored from an older copy must not reuse numbers."""
        return max([head.number, *(i.revision for i in self._instances.values())]) + 1

    def _validate_layer(self, layer: Mapping[str, Any]) -> Values:
        try:
            return check.validate(layer, managed=True)
        except check.OperatorError as error:
            text = "; ".join(map(str, error.problems))
            raise AgentRefusedError("bad_input", text, problems=[p.as_dict() for p in error.problems]) from None

    def _validate_effective(self, made: Document) -> None:
        """Validate the merged settings of every instance: layers that are valid alone may conflict when
        combined."""
        for instance in self._instances.values():
            try:
                check.validate(made.effective(instance.name, instance.labels), managed=True)
            except check.OperatorError as error:
                raise AgentRefusedError("bad_input", f"for {instance.name}: {error.problems[0]}") from None

    def conflict(self, parent: int, head: Revision) -> AgentRefusedError:
        """The error for a change based on an outdated revision, with the revisions and changes since then."""
        since = [r for r in self._store.revisions(after=parent) if r.number > parent]
        old = self._store.revision(parent)
        changes = difference(old.document, head.document) if old is not None else []
        first = since[-1] if since else head
        when = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(first.at))
        text = (
            f"revision {first.number} by {first.author} ({first.reason or 'no reason given'}, {when}) "
            f"came first; yours is based on revision {parent}, the newest is {head.number}"
        )
        return AgentRefusedError(
            "conflict", text, head=head.number, revisions=[r.as_dict() for r in since], changes=changes
        )

    def _effects(self, affected: list[Instance], revision: Revision) -> list[dict[str, Any]]:
        """The keys that a change would set or remove at each instance, and which of them need a restart."""
        effects = []
        for instance in sorted(affected, key=lambda i: i.name):
            values = revision.document.effective(instance.name, instance.labels)
            current = dict(self.desired_settings(instance).get("values", {}))
            changed = sorted(k for k in {*values, *current} if values.get(k) != current.get(k))
            if changed:
                restart = [k for k in check.restart_keys(current, values) if k in changed]
                effects.append(
                    {"name": instance.name, "connected": instance.connected, "keys": changed, "restart": restart}
                )
        return effects
