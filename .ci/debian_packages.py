"""Debian's package records: which packages a new machine has, and which package a file belongs to."""

import collections.abc
import os
import subprocess

# What each Debian machine has: the essential packages. usr-is-merged satisfies one of their alternatives as a new
# installation does; on its own apt would choose usrmerge, which converts old ones.
BASE_SYSTEM = ("?essential", "usr-is-merged")
# Where these are links on this machine, /lib/x and /usr/lib/x are one file.
MERGED_FOLDERS = [name for name in ("bin", "sbin", "lib", "lib32", "lib64", "libx32") if os.path.islink(f"/{name}")]
MERGED_PREFIXES = tuple(f"/{name}/" for name in MERGED_FOLDERS)


class PackageError(Exception):
    """The package manager cannot say what is asked; the text says why."""


def resolve(listed: collections.abc.Iterable[str]) -> frozenset[str]:
    """The packages of a machine on which nothing but the base system and `listed` were installed, without Recommends.

    apt resolves them against an empty status file, so that what is installed here makes no difference.
    """
    architecture = _output(["dpkg", "--print-architecture"]).strip()
    command = ["apt-get", "--simulate", "--no-install-recommends", "--option", "Dir::State::status=/dev/null"]
    command += ["--option", f"APT::Architectures={architecture}", "install", *BASE_SYSTEM, *listed]
    lines = _output(command).splitlines()
    return frozenset(line.split()[1] for line in lines if line.startswith("Inst "))


def canonical(path: str) -> str:
    """`path` without `..`, and below /usr where its first folder is a link to there."""
    path = os.path.normpath(path)
    if path.startswith(MERGED_PREFIXES):
        return f"/usr{path}"
    return path


def files_of(packages: frozenset[str]) -> dict[str, str]:
    """The package of each file of `packages`, by canonical path; raises PackageError unless all are installed."""
    names = sorted(packages)
    installed = _output(["dpkg-query", "--show", "--showformat", "${Package} ${db:Status-Status}\n"]).splitlines()
    missing = [name for name in names if f"{name} installed" not in installed]
    if missing:
        raise PackageError(f"a new machine has {', '.join(missing)}, not installed here: run .ci/packages")
    # One paragraph of paths a package, in the order of the arguments.
    paragraphs = _output(["dpkg-query", "--listfiles", *names]).rstrip("\n").split("\n\n")
    if len(paragraphs) != len(names):
        raise PackageError(f"dpkg-query: {len(paragraphs)} lists of files for {len(names)} packages")
    owners = {}
    for name, paragraph in zip(names, paragraphs):
        for line in paragraph.splitlines():
            if line.startswith("/") and line != "/.":
                owners[canonical(line)] = name
    return owners


def owner_on_this_machine(path: str) -> str | None:
    """The installed package that `path`, or else the first owned file that its links lead to, belongs to."""
    names = {canonical(path)}
    if canonical(path).removeprefix("/usr").startswith(MERGED_PREFIXES):
        names.add(canonical(path).removeprefix("/usr"))
    found = subprocess.run(["dpkg-query", "--search", *names], capture_output=True, text=True)
    for line in found.stdout.splitlines():
        if not line.startswith("diversion by"):
            packages = line.split(": ")[0]
            return packages.split(",")[0].split(":")[0]
    if os.path.islink(path):
        return owner_on_this_machine(os.path.join(os.path.dirname(path), os.readlink(path)))
    return None


def _output(command: list[str]) -> str:
    result = subprocess.run(command, capture_output=True, text=True, env={**os.environ, "LC_ALL": "C"})
    if result.returncode:
        reasons = [line for line in result.stderr.splitlines() if line.startswith(("E:", "dpkg"))]
        raise PackageError(f"{command[0]}: {'; '.join(reasons) or f'exit code {result.returncode}'}")
    return result.stdout
