"""Parses a registry's answer incrementally, one instance at a time. No I/O.

The answer of a registry with thousands of instances is many megabytes. Decoding it in one piece would block the
event loop all that time, even in a thread because the decoder holds the interpreter's lock, and would need
several times its size in memory. Therefore this module parses the structure around the instances, the library
decodes each instance, and the caller decides how much to feed before it lets requests run. Instances ahead of
damaged or missing data are still reported.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Generator, Mapping
from typing import Any

from covetally.errors import DamagedError

MAX_VALUE_LENGTH = 256 * 1024  # in characters, of one instance or any other value
MAX_DEPTH = 32  # of XML elements

InstanceHandler = Callable[[str, Mapping[str, Any]], None]
"""Receives the name of the application, empty if it is not known yet, and the instance."""

_SPACE = re.compile(r"[ \t\r\n]*")
_Parse = Generator[None, None, Any]


class InvalidAnswer(DamagedError):
    """The answer is incomplete or not in Eureka's format; the message says where."""

    code = "registry-answer"
    remedy = "Check that registry; the last good list stays in use."


class JsonParser:
    """Parses JSON of applications, one application or one instance. `hash` is apps__hashcode once it was read."""

    def __init__(self, on_instance: InstanceHandler) -> None:
        self._on_instance = on_instance
        self._text, self._position, self._final = "", 0, False
        self._decode = json.JSONDecoder().raw_decode
        self._app = ""
        self.hash: str | None = None
        self._recognized = False  # whether one of these three was found
        self._parser = self._document()
        self._finished = False
        self._advance()

    def feed(self, text: str) -> None:
        """Parses the next piece of text; InvalidAnswer if it is invalid."""
        self._text, self._position = self._text[self._position :] + text, 0
        self._advance()

    def close(self) -> None:
        """Ends the answer; InvalidAnswer if it is incomplete."""
        self._final = True
        self._advance()
        if not self._finished:
            raise InvalidAnswer("truncated")
        if not self._recognized:
            raise InvalidAnswer("it contains no applications")

    def _advance(self) -> None:
        if self._finished:
            if self._text[self._position :].strip():
                raise InvalidAnswer("data after the end of the answer")
            return
        try:
            next(self._parser)
        except StopIteration:
            self._finished = True
            self._advance()

    # --- generators: each yields when it needs more text ---------------------------------------------

    def _peek(self) -> _Parse:
        while True:
            match = _SPACE.match(self._text, self._position)
            assert match is not None
            self._position = match.end()
            if self._position < len(self._text):
                return self._text[self._position]
            yield

    def _value(self) -> _Parse:
        """Decodes one complete value."""
        yield from self._peek()
        while True:
            try:
                value, end = self._decode(self._text, self._position)
            except (ValueError, RecursionError):
                value, end = None, -1  # incomplete or invalid: only more text can tell
            # A number at the end of the text may continue in the next piece.
            if end >= 0 and (end < len(self._text) or self._final or isinstance(value, str | list | dict)):
                self._position = end
                return value
            if self._final or len(self._text) - self._position > MAX_VALUE_LENGTH:
                raise InvalidAnswer(f"at {self._text[self._position : self._position + 40]!r}")
            yield

    def _expect(self, expected: str) -> _Parse:
        found = yield from self._peek()
        if found not in expected:
            raise InvalidAnswer(f"{found!r} instead of {expected!r}")
        self._position += 1
        return found

    def _object(self, parse_member: Callable[[str], _Parse | None]) -> _Parse:
        """An object; `parse_member` returns the parser of a value that matters, and None for others."""
        yield from self._expect("{")
        if (yield from self._peek()) == "}":
            self._position += 1
            return
        while True:
            key = yield from self._value()
            if not isinstance(key, str):
                raise InvalidAnswer(f"key {key!r:.40}")
            yield from self._expect(":")
            parser = parse_member(key)
            yield from parser if parser is not None else self._value()
            if (yield from self._expect(",}")) == "}":
                return

    def _one_or_many(self, item: Callable[[], _Parse]) -> _Parse:
        """A list, a single item in place of a list, or nothing."""
        first = yield from self._peek()
        if first == "{":
            yield from item()
        elif first == "[":
            self._position += 1
            if (yield from self._peek()) == "]":
                self._position += 1
                return
            while True:
                yield from item()
                if (yield from self._expect(",]")) == "]":
                    return
        elif (yield from self._value()) not in (None, ""):
            raise InvalidAnswer("neither an object nor a list of objects")

    def _document(self) -> _Parse:
        def parse_member(key: str) -> _Parse | None:
            if key == "applications":
                self._recognized = True
                return self._object(applications)
            if key == "application":
                self._recognized = True
                return self._application()
            if key == "instance":
                self._recognized = True
                return self._instance()
            return None

        def applications(key: str) -> _Parse | None:
            if key == "application":
                return self._one_or_many(self._application)
            return self._hashcode() if key == "apps__hashcode" else None

        yield from self._object(parse_member)

    def _hashcode(self) -> _Parse:
        value = yield from self._value()
        if isinstance(value, str):
            self.hash = value

    def _application(self) -> _Parse:
        self._app = ""

        def parse_member(key: str) -> _Parse | None:
            if key == "name":
                return self._name()
            return self._one_or_many(self._instance) if key == "instance" else None

        yield from self._object(parse_member)

    def _name(self) -> _Parse:
        value = yield from self._value()
        self._app = value if isinstance(value, str) else ""

    def _instance(self) -> _Parse:
        value = yield from self._value()
        self._on_instance(self._app, value if isinstance(value, dict) else {})


class XmlParser:
    """Parses Eureka's XML into the form of its JSON. Rejects document types, and with them custom entities."""

    def __init__(self, on_instance: InstanceHandler) -> None:
        # An optional dependency: only installations that use XML need it.
        from xml.etree.ElementTree import ParseError

        from defusedxml.common import DefusedXmlException
        from defusedxml.ElementTree import DefusedXMLParser

        self._errors = (ParseError, DefusedXmlException, ValueError)
        self._target = _XmlTarget(on_instance)
        self._parser = DefusedXMLParser(target=self._target, forbid_dtd=True)

    @property
    def hash(self) -> str | None:
        """The value of apps__hashcode once it was read."""
        return self._target.hash

    def feed(self, text: str) -> None:
        """Parses the next piece of text; InvalidAnswer if it is invalid."""
        try:
            self._parser.feed(text)
        except self._errors as error:
            raise InvalidAnswer(f"{type(error).__name__}: {error}"[:200]) from None

    def close(self) -> None:
        """Ends the answer; InvalidAnswer if it is incomplete."""
        try:
            self._parser.close()
        except self._errors as error:
            raise InvalidAnswer(f"{type(error).__name__}: {error}"[:200]) from None
        if not self._target.recognized:
            raise InvalidAnswer("it contains no applications")


class _XmlTarget:
    """The target of the XML parser: builds instances from elements."""

    def __init__(self, on_instance: InstanceHandler) -> None:
        self._on_instance = on_instance
        self._path: list[str] = []
        self._app = ""
        self._text_parts: list[str] = []
        self._size = 0
        self._open: list[dict[str, Any]] = []  # the current instance and the sections open in it
        self.hash: str | None = None
        self.recognized = False

    def start(self, tag: str, attributes: Mapping[str, str]) -> None:
        """Handles the start of an element."""
        if len(self._path) >= MAX_DEPTH:
            raise InvalidAnswer("elements are nested too deeply")
        if not self._path:
            self.recognized = tag in ("applications", "application", "instance")
        self._path.append(tag)
        self._text_parts.clear()
        if self._open:
            section: dict[str, Any] = {f"@{name}": value for name, value in attributes.items()}
            self._open.append(section)
        elif tag == "instance":
            self._open, self._size = [{}], 0
        elif tag == "application":
            self._app = ""

    def data(self, text: str) -> None:
        """Handles character data."""
        self._size += len(text)
        if self._size > MAX_VALUE_LENGTH:
            raise InvalidAnswer("an instance is too long")
        self._text_parts.append(text)

    def end(self, tag: str) -> None:
        """Handles the end of an element."""
        self._path.pop()
        text = "".join(self._text_parts).strip()
        self._text_parts.clear()
        if self._open:
            section = self._open.pop()
            if not self._open:
                self._on_instance(self._app, section)
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
