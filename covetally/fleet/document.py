"""The desired settings of the fleet: layers of settings, each for the instances that its selector matches.

Each revision holds one document. The layer for all instances comes first, the others in the order in which they
were first added. Where two layers set the same key for an instance, the later layer wins. A change replaces one
layer.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from covetally.control.protocol import digest
from covetally.fleet.selector import Selector, parse
from covetally.operator.schema import Value, Values


@dataclass(frozen=True, slots=True)
class Layer:
    """Settings by dotted key for the instances that a selector matches."""

    selector: Selector
    values: Mapping[str, Value]


@dataclass(frozen=True, slots=True)
class Document:
    """An ordered list of layers; the layer for all instances, if any, is first."""

    layers: tuple[Layer, ...] = ()

    def layer(self, selector: Selector) -> Values:
        """The settings of the layer with exactly this selector, empty if there is none."""
        return next((dict(x.values) for x in self.layers if x.selector == selector), {})

    def with_layer(self, selector: Selector, values: Mapping[str, Value]) -> Document:
        """A copy with one layer replaced; a layer without settings is removed."""
        layers = [x for x in self.layers if x.selector != selector or values]
        at = next((i for i, x in enumerate(layers) if x.selector == selector), None)
        if at is not None:
            layers[at] = Layer(selector, dict(values))
        elif values:
            layers.insert(0 if not selector.terms else len(layers), Layer(selector, dict(values)))
        return Document(tuple(layers))

    def effective(self, name: str, labels: Mapping[str, str]) -> Values:
        """The settings that apply to an instance, sorted by key."""
        merged: Values = {}
        for layer in self.layers:
            if layer.selector.matches(name, labels):
                merged.update(layer.values)
        return dict(sorted(merged.items()))

    def origins(self, name: str, labels: Mapping[str, str]) -> dict[str, str]:
        """For each key of `effective`, the selector of the layer that sets it."""
        found: dict[str, str] = {}
        for layer in self.layers:
            if layer.selector.matches(name, labels):
                found.update(dict.fromkeys(layer.values, str(layer.selector)))
        return found

    def digest(self) -> str:
        """The digest that identifies the document."""
        return digest({"layers": self.as_dicts()})

    def as_dicts(self) -> list[dict[str, Any]]:
        """The layers as dictionaries, for the store and the API."""
        return [{"selector": str(x.selector), "values": dict(sorted(x.values.items()))} for x in self.layers]

    def to_json(self) -> str:
        """The layers as JSON."""
        return json.dumps(self.as_dicts(), separators=(",", ":"))


def from_dicts(rows: list[dict[str, Any]]) -> Document:
    """Build a document from the result of `as_dicts`."""
    return Document(tuple(Layer(parse(x["selector"]), x["values"]) for x in rows))


def difference(old: Document, new: Document) -> list[dict[str, Any]]:
    """Every key that differs, layer by layer, as {selector, key, old, new}; None where the key is not set."""
    found = []
    selectors = dict.fromkeys([x.selector for x in (*old.layers, *new.layers)])
    for selector in selectors:
        before, after = old.layer(selector), new.layer(selector)
        for key in sorted({*before, *after}):
            if before.get(key) != after.get(key):
                found.append(
                    {"selector": str(selector), "key": key, "old": before.get(key), "new": after.get(key)}
                )
    return found


def reverted_layer(head: Document, mine: Document, parent: Document, selector: Selector) -> Values:
    """The layer of `head` with the changes from `parent` to `mine` reverted; later changes by others are kept."""
    layer, before = head.layer(selector), parent.layer(selector)
    for key in changed_keys(mine, parent, selector):
        layer.pop(key, None)
        if key in before:
            layer[key] = before[key]
    return layer


def changed_keys(mine: Document, parent: Document, selector: Selector) -> list[str]:
    """The keys of a layer that differ between `parent` and `mine`."""
    changed, before = mine.layer(selector), parent.layer(selector)
    return [key for key in {*changed, *before} if changed.get(key) != before.get(key)]
