"""Selectors choose instances by name and labels: `zone=milano,name=a*|b1`.

An instance matches if every term matches, and a term matches if one of its patterns does. The key `name` stands
for the instance's name, every other key for a label. Patterns are shell patterns (* ? [...]). The empty
selector matches every instance.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from fnmatch import fnmatchcase

from covetally.errors import ConfigurationError

_KEY = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_WILDCARDS = frozenset("*?[")
MAX_SELECTOR_LENGTH = 16 * 1024


class SelectorError(ConfigurationError, ValueError):
    """The text is not a valid selector."""

    code = "selector"
    remedy = "Write a selector such as zone=milano,name=a*|b1, or leave it out to select all instances."


@dataclass(frozen=True, slots=True)
class Selector:
    """A parsed selector: each key with its alternative patterns."""

    terms: tuple[tuple[str, tuple[str, ...]], ...] = ()

    def __str__(self) -> str:
        return ",".join(f"{key}={'|'.join(patterns)}" for key, patterns in self.terms)

    def matches(self, name: str, labels: Mapping[str, str]) -> bool:
        """Whether an instance with this name and these labels is selected."""
        for key, patterns in self.terms:
            value = name if key == "name" else labels.get(key)
            if value is None or not any(fnmatchcase(value, pattern) for pattern in patterns):
                return False
        return True

    def overlaps(self, other: Selector) -> bool:
        """Whether some instance, present or future, could match both selectors. Only a key whose values on one
        side are all literals can rule this out; two wildcard patterns are assumed to overlap."""
        mine, theirs = dict(self.terms), dict(other.terms)
        for key in mine.keys() & theirs.keys():
            own_patterns, other_patterns = mine[key], theirs[key]
            if all(_is_literal(p) for p in own_patterns):
                if not any(
                    fnmatchcase(literal, pattern) for literal in own_patterns for pattern in other_patterns
                ):
                    return False
            elif all(_is_literal(p) for p in other_patterns) and not any(
                fnmatchcase(literal, pattern) for literal in other_patterns for pattern in own_patterns
            ):
                return False
        return True


def _is_literal(pattern: str) -> bool:
    return not _WILDCARDS.intersection(pattern)


def parse(text: str) -> Selector:
    """Parse a selector; SelectorError names the first invalid term. Terms are sorted by key and patterns are
    sorted, so that selectors that differ only in order are equal."""
    if len(text) > MAX_SELECTOR_LENGTH:
        raise SelectorError(f"selector has {len(text)} characters; the limit is {MAX_SELECTOR_LENGTH}")
    terms: dict[str, tuple[str, ...]] = {}
    for term in filter(None, (part.strip() for part in text.split(","))):
        key, equals, value = term.partition("=")
        patterns = tuple(sorted({p for p in value.split("|") if p}))
        if not equals or not _KEY.fullmatch(key) or not patterns:
            raise SelectorError(f"{term!r} is no term of the form KEY=VALUE, as in zone=milano or name=a*|b1")
        if key in terms:
            raise SelectorError(f"{key} occurs twice; write {key}=ONE|OTHER to match either")
        terms[key] = patterns
    return Selector(tuple(sorted(terms.items())))
