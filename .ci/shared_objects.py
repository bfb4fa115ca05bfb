"""Which shared objects an ELF file loads, from its NEEDED entries, the search paths written into it, and the cache."""

import collections.abc
import os
import pathlib
import re
import subprocess

ELF_MAGIC = b"\x7fELF"
NEEDED = re.compile(r"\(NEEDED\).*\[(.*)\]")
SEARCH_PATHS = re.compile(r"\((?:RPATH|RUNPATH)\).*\[(.*)\]")
INTERPRETER = re.compile(r"Requesting program interpreter: (.*)\]")
CACHE_ENTRY = re.compile(r"^\t(\S+) \(libc6[^)]*\) => (\S+)$", re.MULTILINE)


def elf_files(folder: pathlib.Path) -> collections.abc.Iterator[pathlib.Path]:
    """The programs and shared objects below `folder`: ELF files that name what they load."""
    for path in sorted(folder.rglob("*")):
        if path.is_symlink() or not path.is_file() or path.suffix == ".o":
            continue
        with path.open("rb") as file:
            if file.read(len(ELF_MAGIC)) == ELF_MAGIC:
                yield path


def loaded_by(path: pathlib.Path) -> dict[str, str | None]:
    """Each shared object that `path` loads, itself or through another, by name: its file, or None if there is none."""
    cache = _cache()
    found: dict[str, str | None] = {}
    pending = [str(path)]
    while pending:
        user = pending.pop()
        needed, folders = _dynamic_section(user)
        for name in needed:
            if name in found:
                continue
            found[name] = _locate(name, folders, cache)
            if found[name]:
                pending.append(found[name])
    return found


def _dynamic_section(path: str) -> tuple[list[str], list[str]]:
    output = subprocess.run(
        ["readelf", "--wide", "--dynamic", "--program-headers", path],
        capture_output=True,
        text=True,
        check=True,
        env={**os.environ, "LC_ALL": "C"},
    ).stdout
    folders = [folder for paths in SEARCH_PATHS.findall(output) for folder in paths.split(":")]
    origin = os.path.dirname(path)
    expanded = [folder.replace("${ORIGIN}", origin).replace("$ORIGIN", origin) for folder in folders]
    return NEEDED.findall(output) + INTERPRETER.findall(output), expanded


def _locate(name: str, folders: list[str], cache: dict[str, str]) -> str | None:
    if name.startswith("/"):
        return name if os.path.exists(name) else None
    for folder in folders:
        candidate = os.path.join(folder, name)
        if os.path.exists(candidate):
            return os.path.normpath(candidate)
    return cache.get(name)


def _cache() -> dict[str, str]:
    output = subprocess.run(["/sbin/ldconfig", "-p"], capture_output=True, text=True, check=True).stdout
    paths: dict[str, str] = {}
    for name, path in CACHE_ENTRY.findall(output):
        paths.setdefault(name, path)
    return paths
