"""YAML with its places: values by the core schema of YAML 1.2, and the line and column of each.

Bounded before anything is built: size, depth, and the number of values once aliases are written out.
"""

import re
from dataclasses import dataclass, field
from typing import Any

import yaml

from pepperlatch.constants import pipelines as c

Path = tuple[str | int, ...]
Loader: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)

_NULL = re.compile(r"|~|null|Null|NULL")
_BOOL = re.compile(r"true|True|TRUE|false|False|FALSE")
_INT = re.compile(r"[-+]?[0-9]+|0o[0-7]+|0x[0-9a-fA-F]+")
_FLOAT = re.compile(r"[-+]?(\.[0-9]+|[0-9]+(\.[0-9]*)?)([eE][-+]?[0-9]+)?")


@dataclass(slots=True, frozen=True, order=True)
class Place:
    """From 1 on, as editors count."""

    line: int
    column: int


@dataclass(slots=True, frozen=True, order=True)
class Mistake:
    """One line for people: `billing.yaml:12:9: steps[2].needs[0]: ...`"""

    place: Place
    text: str
    path: str = ""

    def format(self, name: str) -> str:
        return f"{name}:{self.place.line}:{self.place.column}: " + (f"{self.path}: " if self.path else "") + self.text


class InvalidFile(Exception):
    """All that is wrong with a file, in order of place."""

    def __init__(self, found: list[Mistake]) -> None:
        super().__init__(found[0].text)
        self.mistakes = sorted(set(found))


@dataclass(slots=True)
class Document:
    value: Any
    places: dict[Path, Place] = field(default_factory=dict)  # of values
    keys: dict[Path, Place] = field(default_factory=dict)  # of the keys that they stand behind

    def place(self, path: Path, key: bool = False) -> Place:
        """Of the value, of its key, or of the nearest thing around it that is in the file."""
        for end in range(len(path), -1, -1):
            for held in (self.keys, self.places) if key else (self.places, self.keys):
                if path[:end] in held:
                    return held[path[:end]]
        return Place(1, 1)


def load(data: bytes) -> Document:
    """Raises InvalidFile."""
    if len(data) > c.MAX_FILE_BYTES:
        raise _mistake(Place(1, 1), f"the file has {len(data)} bytes; at most {c.MAX_FILE_BYTES} are read")
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        line = data[: error.start].count(b"\n") + 1
        column = error.start - (data.rfind(b"\n", 0, error.start) + 1) + 1
        raise _mistake(Place(line, column), "not UTF-8 text") from None
    try:
        _bound(text)
        root = yaml.compose(text, Loader=Loader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        raise _mistake(_place(mark) if mark else Place(1, 1), error.problem or str(error)) from None
    except yaml.YAMLError as error:
        raise _mistake(Place(1, 1), " ".join(str(error).split())) from None
    if root is None:
        raise _mistake(Place(1, 1), "the file is empty")
    reader = _Reader(Document(None))
    reader.document.value = reader.read(root, ())
    if reader.found:
        raise InvalidFile(reader.found)
    return reader.document


def _mistake(place: Place, text: str) -> InvalidFile:
    return InvalidFile([Mistake(place, text)])


def _place(mark: Any) -> Place:
    return Place(mark.line + 1, mark.column + 1)


def _bound(text: str) -> None:
    """Depth and number of documents, from the events alone: a deep file would overflow the stack of what builds it."""
    depth = documents = 0
    for event in yaml.parse(text, Loader=Loader):
        if isinstance(event, yaml.DocumentStartEvent):
            documents += 1
            if documents > 1:
                raise _mistake(_place(event.start_mark), "a second document; a file holds one pipeline")
        elif isinstance(event, yaml.CollectionStartEvent):
            depth += 1
            if depth > c.MAX_FILE_DEPTH:
                raise _mistake(_place(event.start_mark), f"nested more than {c.MAX_FILE_DEPTH} deep")
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1


@dataclass(slots=True)
class _Reader:
    document: Document
    found: list[Mistake] = field(default_factory=list)
    _count: int = 0
    _open: set[int] = field(default_factory=set)  # nodes around the one being read

    def read(self, node: yaml.Node, path: Path) -> Any:
        self._count += 1
        if self._count > c.MAX_FILE_VALUES:
            text = f"more than {c.MAX_FILE_VALUES} values once aliases are written out"
            raise _mistake(_place(node.start_mark), text)
        if id(node) in self._open:
            raise _mistake(_place(node.start_mark), "an alias to something that it is part of")
        self.document.places.setdefault(path, _place(node.start_mark))
        if isinstance(node, yaml.ScalarNode):
            return self._scalar(node)
        self._open.add(id(node))
        try:
            if isinstance(node, yaml.SequenceNode):
                return [self.read(child, (*path, i)) for i, child in enumerate(node.value)]
            return self._mapping(node, path)
        finally:
            self._open.discard(id(node))

    def _mapping(self, node: yaml.Node, path: Path) -> dict[str, Any]:
        value: dict[str, Any] = {}
        for key_node, child in node.value:
            place = _place(key_node.start_mark)
            key = key_node.value if isinstance(key_node, yaml.ScalarNode) else None
            if key is None:
                self.found.append(Mistake(place, "a name is wanted here, not a list or a mapping"))
                continue
            if key == "<<":
                self.found.append(Mistake(place, "merging is not supported; put what steps share into `defaults`"))
                continue
            if key in value:
                first = self.document.keys[(*path, key)]
                self.found.append(Mistake(place, f"{key!r} stands here twice, first in line {first.line}"))
                continue
            self.document.keys[(*path, key)] = place
            value[key] = self.read(child, (*path, key))
        return value

    def _scalar(self, node: yaml.ScalarNode) -> Any:
        text: str = node.value
        if node.style not in (None, "") or not isinstance(text, str):
            return text
        if node.tag.startswith("!") or node.tag.startswith("tag:yaml.org,2002:python"):
            self.found.append(Mistake(_place(node.start_mark), f"the tag {node.tag!r} means nothing here"))
            return None
        if _NULL.fullmatch(text):
            return None
        if _BOOL.fullmatch(text):
            return text.lower() == "true"
        if _INT.fullmatch(text):
            return int(text, 0) if text[:2] in ("0o", "0x") else _int(text)
        return float(text) if _FLOAT.fullmatch(text) else text


def _int(text: str) -> int | float:
    """A number too long to be meant as one still gets a place, as out of range."""
    return int(text) if len(text) <= 30 else float(text)
