"""Changes before they are made: the revision that one would make, what it would do, who would refuse it."""

from __future__ import annotations

import time
from collections.abc import Mapping
from typing import Any

from covetally.control.protocol import digest
from covetally.fleet import preflight
from covetally.fleet.asks import Asks
from covetally.fleet.document import Document, Layer, difference
from covetally.fleet.refused import Refused
from covetally.fleet.registry import Instance
from covetally.fleet.running import Draft
from covetally.fleet.selector import Selector, parse
from covetally.fleet.store import Revision, Store
from covetally.operator import check
from covetally.operator.schema import Values


def recovered_document(reports: list[Instance]) -> Document:
    """The desired state that instances report, where the store has none: what most have is for all, and whoever
    has something else gets a layer of its own."""
    by_digest: dict[str, list[Instance]] = {}
    for instance in reports:
        by_digest.setdefault(instance.digest, []).append(instance)
    most = max(by_digest.values(), key=lambda found: (len(found), found[0].name))
    layers = [Layer(Selector(), dict(most[0].values))] if most[0].values else []
    for instance in sorted(reports, key=lambda i: i.name):
        if instance.digest != most[0].digest:
            layers.append(Layer(parse(f"name={instance.name}"), dict(instance.values)))
    return Document(tuple(layers))


class Drafts:
    """Works on what the store has, and writes nothing."""

    def __init__(self, store: Store, instances: Mapping[str, Instance], asks: Asks) -> None:
        self._store, self._instances, self._asks = store, instances, asks

    def draft(
        self, who: str, parent: int, reason: str, meant: Selector, put: Mapping[str, Any] | None,
        set_: Mapping[str, Any], unset: list[str],
    ) -> Draft:  # fmt: skip
        """The revision that a change would make on top of `parent`, not written; Refused if it cannot be made.

        `put` replaces the layer of `meant`, else `set_` and `unset` change it.
        """
        head = self._store.head()
        if parent != head.number:
            raise self.conflict(parent, head)
        layer = dict(put) if put is not None else head.document.layer(meant)
        if put is None:
            missing = [key for key in unset if key not in layer]
            if missing:
                raise Refused("bad_input", f"{missing[0]} is not set for {str(meant) or 'all'}")
            layer = {k: v for k, v in (layer | dict(set_)).items() if k not in unset}
        values = self._checked(layer)
        made = head.document.replaced(meant, values)
        changes = difference(head.document, made)
        if not changes:
            raise Refused("bad_input", "this changes nothing", head=head.number)
        self._check_effective(made)
        number = self.next_revision(head)
        revision = Revision(number, head.number, time.time(), who, reason, str(meant), made.digest(), made)
        affected = [i for i in self._instances.values() if meant.matches(i.name, i.labels)]
        return Draft(revision, meant, changes, affected)

    def preview(self, draft: Draft) -> dict[str, Any]:
        """What a draft would do to each instance."""
        would = self._would(draft.affected, draft.revision)
        return {"dry_run": True, "revision": draft.revision.number, "changes": draft.changes, "would": would}

    async def preflight(self, draft: Draft) -> preflight.Found:
        """Ask each instance that a draft means whether it would take it."""
        document = draft.revision.document
        wanted = {i.name: document.effective(i.name, i.labels) for i in draft.affected if not i.left}

        async def one(name: str) -> Any:
            return await self._asks.answer_of(name, "would", values=wanted[name])

        return preflight.judge(await preflight.ask_all(wanted, one))

    def wanted(self, instance: Instance) -> dict[str, Any]:
        """What an instance is to have, and which layer says so."""
        revision = self._store.revision(max(0, instance.assigned))
        if revision is None:
            return {}
        values = revision.document.effective(instance.name, instance.labels)
        origin = revision.document.origin(instance.name, instance.labels)
        return {"revision": revision.number, "digest": digest(values), "values": values, "origin": origin}

    def next_revision(self, head: Revision) -> int:
        """Above all that any instance has: a store that was put back from a copy must not count from below,
        for no instance takes what is older than what it has."""
        return max([head.number, *(i.revision for i in self._instances.values())]) + 1

    def _checked(self, layer: Mapping[str, Any]) -> Values:
        try:
            return check.validate(layer, managed=True)
        except check.OperatorError as error:
            text = "; ".join(map(str, error.problems))
            raise Refused("bad_input", text, problems=[p.as_dict() for p in error.problems]) from None

    def _check_effective(self, made: Document) -> None:
        """Layers that will do alone may not do together."""
        for instance in self._instances.values():
            try:
                check.validate(made.effective(instance.name, instance.labels), managed=True)
            except check.OperatorError as error:
                raise Refused("bad_input", f"for {instance.name}: {error.problems[0]}") from None

    def conflict(self, parent: int, head: Revision) -> Refused:
        """Somebody was first: who, when, and what lies between."""
        since = [r for r in self._store.revisions(after=parent) if r.number > parent]
        old = self._store.revision(parent)
        changes = difference(old.document, head.document) if old is not None else []
        first = since[-1] if since else head
        when = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(first.at))
        text = (
            f"revision {first.number} by {first.author} ({first.reason or 'no reason given'}, {when}) "
            f"came first; yours was made on revision {parent}, the head is {head.number}"
        )
        return Refused("conflict", text, head=head.number, revisions=[r.table() for r in since], changes=changes)

    def _would(self, affected: list[Instance], revision: Revision) -> list[dict[str, Any]]:
        """What a change would do to each instance."""
        found = []
        for instance in sorted(affected, key=lambda i: i.name):
            values = revision.document.effective(instance.name, instance.labels)
            current = dict(self.wanted(instance).get("values", {}))
            changed = sorted(k for k in {*values, *current} if values.get(k) != current.get(k))
            if changed:
                restart = [k for k in check.restart_keys(current, values) if k in changed]
                found.append(
                    {"name": instance.name, "connected": instance.connected, "keys": changed, "restart": restart}
                )
        return found
