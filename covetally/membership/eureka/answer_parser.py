"""Reads a registry's answer as it comes, an instance at a time. No I/O.

A registry of thousands of instances is many megabytes. Decoded whole, it stops the event loop for as long as
that takes, in a thread too (the decoder holds the interpreter's lock), and is in memory several times over. So
the structure round the instances is walked here, each instance is decoded by the library, and the caller decides
how much it feeds before it lets requests go on. What came ahead of damage or of a cut has been read.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Generator, Mapping
from typing import Any

from covetally.errors import DamagedError

MAX_ENTRY = 256 * 1024  # of one instance, or of any other value; characters
MAX_DEPTH = 32  # of XML elements

Take = Callable[[str, Mapping[str, Any]], None]
"""Gets the name of the application, as far as it is known yet, and the instance."""

_SPACE = re.compile(r"[ \t\r\n]*")
_Steps = Generator[None, None, Any]


class Damaged(DamagedError):
    """The answer is not whole, or not what Eureka writes; the message says where it went wrong."""

    code = "registry-answer"
    remedy = "Look at that registry; the last good list stays in force."


class JsonReader:
    """Eureka's JSON: applications, one application, or one instance. `hash` is apps__hashcode, once read."""

    def __init__(self, take: Take) -> None:
        self._take = take
        self._text, self._at, self._final = "", 0, False
        self._decode = json.JSONDecoder().raw_decode
        self._app = ""
        self.hash: str | None = None
        self._known = False  # whether one of the three was met
        self._walk = self._document()
        self._done = False
        self._step()

    def feed(self, text: str) -> None:
        """More of it; Damaged where it cannot be read on."""
        self._text, self._at = self._text[self._at :] + text, 0
        self._step()

    def close(self) -> None:
        """That was all; Damaged if it is not whole."""
        self._final = True
        self._step()
        if not self._done:
            raise Damaged("cut off")
        if not self._known:
            raise Damaged("no applications in it")

    def _step(self) -> None:
        if self._done:
            if self._text[self._at :].strip():
                raise Damaged("more behind its end")
            return
        try:
            next(self._walk)
        except StopIteration:
            self._done = True
            self._step()

    # --- the walk: each of these goes on when there is more text ------------------------------------

    def _peek(self) -> _Steps:
        while True:
            match = _SPACE.match(self._text, self._at)
            assert match is not None
            self._at = match.end()
            if self._at < len(self._text):
                return self._text[self._at]
            yield

    def _value(self) -> _Steps:
        """One value, decoded whole."""
        yield from self._peek()
        while True:
            try:
                value, end = self._decode(self._text, self._at)
            except (ValueError, RecursionError):
                value, end = None, -1  # not whole yet, or broken: only more text can tell
            # A number may go on in what has not come yet.
            if end >= 0 and (end < len(self._text) or self._final or isinstance(value, str | list | dict)):
                self._at = end
                return value
            if self._final or len(self._text) - self._at > MAX_ENTRY:
                raise Damaged(f"at {self._text[self._at : self._at + 40]!r}")
            yield

    def _expect(self, wanted: str) -> _Steps:
        found = yield from self._peek()
        if found not in wanted:
            raise Damaged(f"{found!r} in place of {wanted!r}")
        self._at += 1
        return found

    def _object(self, inside: Callable[[str], _Steps | None]) -> _Steps:
        """An object; `inside` walks the values that matter."""
        yield from self._expect("{")
        if (yield from self._peek()) == "}":
            self._at += 1
            return
        while True:
            key = yield from self._value()
            if not isinstance(key, str):
                raise Damaged(f"key {key!r:.40}")
            yield from self._expect(":")
            walk = inside(key)
            yield from walk if walk is not None else self._value()
            if (yield from self._expect(",}")) == "}":
                return

    def _one_or_many(self, item: Callable[[], _Steps]) -> _Steps:
        """A list, or its only item alone in place of the list, or nothing."""
        first = yield from self._peek()
        if first == "{":
            yield from item()
        elif first == "[":
            self._at += 1
            if (yield from self._peek()) == "]":
                self._at += 1
                return
            while True:
                yield from item()
                if (yield from self._expect(",]")) == "]":
                    return
        elif (yield from self._value()) not in (None, ""):
            raise Damaged("neither an object nor a list of them")

    def _document(self) -> _Steps:
        def inside(key: str) -> _Steps | None:
            if key == "applications":
                self._known = True
                return self._object(applications)
            if key == "application":
                self._known = True
                return self._application()
            if key == "instance":
                self._known = True
                return self._instance()
            return None

        def applications(key: str) -> _Steps | None:
            if key == "application":
                return self._one_or_many(self._application)
            return self._hashcode() if key == "apps__hashcode" else None

        yield from self._object(inside)

    def _hashcode(self) -> _Steps:
        value = yield from self._value()
        if isinstance(value, str):
            self.hash = value

    def _application(self) -> _Steps:
        self._app = ""

        def inside(key: str) -> _Steps | None:
            if key == "name":
                return self._name()
            return self._one_or_many(self._instance) if key == "instance" else None

        yield from self._object(inside)

    def _name(self) -> _Steps:
        value = yield from self._value()
        self._app = value if isinstance(value, str) else ""

    def _instance(self) -> _Steps:
        value = yield from self._value()
        self._take(self._app, value if isinstance(value, dict) else {})


class XmlReader:
    """Eureka's XML, brought into the form of its JSON. No document type, so no entities of its own."""

    def __init__(self, take: Take) -> None:
        # An extra: only installations that ask for XML need it.
        from xml.etree.ElementTree import ParseError

        from defusedxml.common import DefusedXmlException
        from defusedxml.ElementTree import DefusedXMLParser

        self._errors = (ParseError, DefusedXmlException, ValueError)
        self._target = _Elements(take)
        self._parser = DefusedXMLParser(target=self._target, forbid_dtd=True)

    @property
    def hash(self) -> str | None:
        """apps__hashcode, once it was read."""
        return self._target.hash

    def feed(self, text: str) -> None:
        """More of it; Damaged where it cannot be read on."""
        try:
            self._parser.feed(text)
        except self._errors as error:
            raise Damaged(f"{type(error).__name__}: {error}"[:200]) from None

    def close(self) -> None:
        """That was all; Damaged if it is not whole."""
        try:
            self._parser.close()
        except self._errors as error:
            raise Damaged(f"{type(error).__name__}: {error}"[:200]) from None
        if not self._target.known:
            raise Damaged("no applications in it")


class _Elements:
    """What the parser calls: elements in, instances out."""

    def __init__(self, take: Take) -> None:
        self._take = take
        self._path: list[str] = []
        self._app = ""
        self._words: list[str] = []
        self._size = 0
        self._open: list[dict[str, Any]] = []  # the instance and the sections in it
        self.hash: str | None = None
        self.known = False

    def start(self, tag: str, attributes: Mapping[str, str]) -> None:
        """An element begins."""
        if len(self._path) >= MAX_DEPTH:
            raise Damaged("too deep")
        if not self._path:
            self.known = tag in ("applications", "application", "instance")
        self._path.append(tag)
        self._words.clear()
        if self._open:
            section: dict[str, Any] = {f"@{name}": value for name, value in attributes.items()}
            self._open.append(section)
        elif tag == "instance":
            self._open, self._size = [{}], 0
        elif tag == "application":
            self._app = ""

    def data(self, text: str) -> None:
        """Characters."""
        self._size += len(text)
        if self._size > MAX_ENTRY:
            raise Damaged("an instance too long")
        self._words.append(text)

    def end(self, tag: str) -> None:
        """An element ends."""
        self._path.pop()
        text = "".join(self._words).strip()
        self._words.clear()
        if self._open:
            section = self._open.pop()
            if not self._open:
                self._take(self._app, section)
                return
            if any(not name.startswith("@") for name in section):
                value: Any = section
            else:
                value = section | {"$": text} if "@enabled" in section else text
            self._open[-1][tag] = value
            return
        self._size = 0
        if tag == "name" and self._path[-1:] == ["application"]:
            self._app = text
        elif tag == "apps__hashcode":
            self.hash = text
