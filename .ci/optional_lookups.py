"""Finds where a project's own files look for something that may be missing: the build would differ by machine."""

import collections.abc
import dataclasses
import pathlib
import re

CMAKE_LOOKUP = re.compile(r"\b(find_(?:package|library|path|file|program))\s*\(([^)]*)\)", re.IGNORECASE)
CMAKE_COMMENT = re.compile(r"#[^\n]*")
SOURCE_LOOKUP = re.compile(r"\b(__has_include|dlopen|dlmopen)\b")
SOURCE_COMMENT = re.compile(r"//[^\n]*")
CMAKE_FILES = ("CMakeLists.txt", "*.cmake")
SOURCE_FILES = ("*.cpp", "*.cc", "*.c", "*.h", "*.hpp")


@dataclasses.dataclass(frozen=True)
class OptionalLookup:
    """A look-up that succeeds without what it looks for: `word` at `file`:`line`."""

    file: str
    line: int
    word: str


# What may stand, by file and word, with the reason.
ACCEPTED = {
    ("src/routes/solvers.cpp", "dlopen"): "loads the project's own libsteprail_check.so, and only where it is needed",
}


def optional_lookups(source: pathlib.Path) -> list[OptionalLookup]:
    """All optional look-ups of the tree `source` but the accepted ones, in the order of their places."""
    found = [*_in_cmake_files(source), *_in_sources(source)]
    kept = [lookup for lookup in found if (lookup.file, lookup.word) not in ACCEPTED]
    return sorted(kept, key=lambda lookup: (lookup.file, lookup.line))


def _in_cmake_files(source: pathlib.Path) -> collections.abc.Iterator[OptionalLookup]:
    for path, text in _texts(source, CMAKE_FILES, CMAKE_COMMENT):
        for match in CMAKE_LOOKUP.finditer(text):
            if "REQUIRED" not in match[2].split():
                yield OptionalLookup(path, _line(text, match.start()), match[1])


def _in_sources(source: pathlib.Path) -> collections.abc.Iterator[OptionalLookup]:
    for path, text in _texts(source, SOURCE_FILES, SOURCE_COMMENT):
        for match in SOURCE_LOOKUP.finditer(text):
            yield OptionalLookup(path, _line(text, match.start()), match[1])


def _texts(
    source: pathlib.Path, patterns: tuple[str, ...], comment: re.Pattern
) -> collections.abc.Iterator[tuple[str, str]]:
    for pattern in patterns:
        for path in sorted(source.rglob(pattern)):
            if path.is_file():
                text = path.read_text(encoding="utf-8", errors="replace")
                yield str(path.relative_to(source)), comment.sub("", text)


def _line(text: str, position: int) -> int:
    return text.count("\n", 0, position) + 1
