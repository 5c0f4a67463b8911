"""Reads YAML: values by the core schema of YAML 1.2, and the line and column of each value.

The size and the depth are checked before any value is built; the number of values, with aliases expanded, is checked
while they are read.
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
class Position:
    """A position in a file; line and column count from 1, as in editors."""

    line: int
    column: int


@dataclass(slots=True, frozen=True, order=True)
class Mistake:
    """One mistake in a file: its position, a text for users, and the path to the value that it concerns."""

    position: Position
    text: str
    path: str = ""

    def format(self, name: str) -> str:
        """One line for users, for example `billing.yaml:12:9: steps[2].needs[0]: ...`; `name` is the file's name."""
        return (
            f"{name}:{self.position.line}:{self.position.column}: "
            + (f"{self.path}: " if self.path else "")
            + self.text
        )


class InvalidFile(Exception):
    """A file cannot be used. `mistakes` lists all its mistakes in order of position."""

    def __init__(self, mistakes: list[Mistake]) -> None:
        super().__init__(mistakes[0].text)
        self.mistakes = sorted(set(mistakes))


@dataclass(slots=True)
class Document:
    """A file's content, and the positions of its values and of the keys that name them, by path."""

    value: Any
    positions: dict[Path, Position] = field(default_factory=dict)
    key_positions: dict[Path, Position] = field(default_factory=dict)

    def position(self, path: Path, key: bool = False) -> Position:
        """The position of the value at `path`, or of its key; else of the nearest enclosing value that exists."""
        for end in range(len(path), -1, -1):
            for candidates in (self.key_positions, self.positions) if key else (self.positions, self.key_positions):
                if path[:end] in candidates:
                    return candidates[path[:end]]
        return Position(1, 1)


def load(data: bytes) -> Document:
    """Read a file's content. Raises InvalidFile."""
    if len(data) > c.MAX_FILE_BYTES:
        raise _invalid_file(Position(1, 1), f"the file has {len(data)} bytes; at most {c.MAX_FILE_BYTES} are read")
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        line = data[: error.start].count(b"\n") + 1
        column = error.start - (data.rfind(b"\n", 0, error.start) + 1) + 1
        raise _invalid_file(Position(line, column), "not UTF-8 text") from None
    try:
        _check_structure(text)
        root = yaml.compose(text, Loader=Loader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        raise _invalid_file(_position(mark) if mark else Position(1, 1), error.problem or str(error)) from None
    except yaml.YAMLError as error:
        raise _invalid_file(Position(1, 1), " ".join(str(error).split())) from None
    if root is None:
        raise _invalid_file(Position(1, 1), "the file is empty")
    reader = _Reader(Document(None))
    reader.document.value = reader.read(root, ())
    if reader.mistakes:
        raise InvalidFile(reader.mistakes)
    return reader.document


def _invalid_file(position: Position, text: str) -> InvalidFile:
    return InvalidFile([Mistake(position, text)])


def _position(mark: Any) -> Position:
    return Position(mark.line + 1, mark.column + 1)


def _check_structure(text: str) -> None:
    """Check depth and number of documents from the parser's events alone. Raises InvalidFile, or yaml.YAMLError.

    Building the values of a file that is nested too deep would overflow the stack.
    """
    depth = documents = 0
    for event in yaml.parse(text, Loader=Loader):
        if isinstance(event, yaml.DocumentStartEvent):
            documents += 1
            if documents > 1:
                raise _invalid_file(_position(event.start_mark), "a second document; a file holds one pipeline")
        elif isinstance(event, yaml.CollectionStartEvent):
            depth += 1
            if depth > c.MAX_FILE_DEPTH:
                raise _invalid_file(_position(event.start_mark), f"nested more than {c.MAX_FILE_DEPTH} deep")
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1


@dataclass(slots=True)
class _Reader:
    """Builds the values of a document from YAML nodes and collects its mistakes."""

    document: Document
    mistakes: list[Mistake] = field(default_factory=list)
    _count: int = 0  # values read so far, with aliases expanded
    _ancestors: set[int] = field(default_factory=set)  # ids of the nodes that enclose the one being read

    def read(self, node: yaml.Node, path: Path) -> Any:
        """The value of a node. Raises InvalidFile if there are too many values or an alias contains itself."""
        self._count += 1
        if self._count > c.MAX_FILE_VALUES:
            text = f"more than {c.MAX_FILE_VALUES} values once aliases are written out"
            raise _invalid_file(_position(node.start_mark), text)
        if id(node) in self._ancestors:
            raise _invalid_file(_position(node.start_mark), "an alias to something that it is part of")
        self.document.positions.setdefault(path, _position(node.start_mark))
        if isinstance(node, yaml.ScalarNode):
            return self._scalar(node)
        self._ancestors.add(id(node))
        try:
            if isinstance(node, yaml.SequenceNode):
                return [self.read(child, (*path, i)) for i, child in enumerate(node.value)]
            return self._mapping(node, path)
        finally:
            self._ancestors.discard(id(node))

    def _mapping(self, node: yaml.Node, path: Path) -> dict[str, Any]:
        """The value of a mapping; keys that are no names, merge keys and repeated keys are recorded as mistakes."""
        value: dict[str, Any] = {}
        for key_node, child in node.value:
            position = _position(key_node.start_mark)
            key = key_node.value if isinstance(key_node, yaml.ScalarNode) else None
            if key is None:
                self.mistakes.append(Mistake(position, "a name is wanted here, not a list or a mapping"))
                continue
            if key == "<<":
                self.mistakes.append(
                    Mistake(position, "merging is not supported; put what steps share into `defaults`")
                )
                continue
            if key in value:
                first = self.document.key_positions[(*path, key)]
                self.mistakes.append(Mistake(position, f"{key!r} stands here twice, first in line {first.line}"))
                continue
            self.document.key_positions[(*path, key)] = position
            value[key] = self.read(child, (*path, key))
        return value

    def _scalar(self, node: yaml.ScalarNode) -> Any:
        """The value of a scalar: a text if it is quoted, else by the core schema; a tag is recorded as a mistake."""
        text: str = node.value
        if node.style not in (None, "") or not isinstance(text, str):
            return text
        if node.tag.startswith("!") or node.tag.startswith("tag:yaml.org,2002:python"):
            self.mistakes.append(Mistake(_position(node.start_mark), f"the tag {node.tag!r} means nothing here"))
            return None
        if _NULL.fullmatch(text):
            return None
        if _BOOL.fullmatch(text):
            return text.lower() == "true"
        if _INT.fullmatch(text):
            return int(text, 0) if text[:2] in ("0o", "0x") else _int(text)
        return float(text) if _FLOAT.fullmatch(text) else text


def _int(text: str) -> int | float:
    """An integer; as a float if it has more than 30 characters, so that the schema reports it as out of range."""
    return int(text) if len(text) <= 30 else float(text)
