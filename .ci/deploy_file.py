#!/usr/bin/python3 -B
"""Reads deploy/balancer.toml, the one list of the packages that building the programs needs.

As a command it prints those packages, one a line. A file that cannot be used is told in one line on standard error,
with exit code 1.
"""

import dataclasses
import pathlib
import re
import sys
import tomllib

DEPLOY_FILE = pathlib.Path("deploy/balancer.toml")
# Debian policy, 5.6.1: the names that a package may have.
PACKAGE_NAME = re.compile(r"[a-z0-9][a-z0-9+.-]+")


class DeployFileError(Exception):
    """The deploy file cannot be used; the text says where and why."""


@dataclasses.dataclass(frozen=True)
class DeployFile:
    """What the deploy file says of building and starting the programs."""

    build: str
    run: str
    sim: str
    packages: tuple[str, ...]


def read_deploy_file(root: pathlib.Path) -> DeployFile:
    """Reads the deploy file of the repository at `root`; raises DeployFileError."""
    try:
        text = (root / DEPLOY_FILE).read_text(encoding="utf-8")
        table = tomllib.loads(text)
    except OSError as error:
        raise DeployFileError(f"{DEPLOY_FILE}: cannot be read: {error.strerror}") from error
    except ValueError as error:  # not UTF-8, or not TOML
        raise DeployFileError(f"{DEPLOY_FILE}: cannot be parsed: {error}") from error
    return DeployFile(
        build=_command(table, "build"),
        run=_command(table, "run"),
        sim=_command(table, "sim"),
        packages=_packages(table),
    )


def _command(table: dict, key: str) -> str:
    value = table.get(key)
    if not isinstance(value, str) or not value.strip():
        raise DeployFileError(f"{DEPLOY_FILE}: {key}: a command is wanted, not {value!r}")
    return value


def _packages(table: dict) -> tuple[str, ...]:
    names = table.get("packages")
    if not isinstance(names, list) or not names:
        raise DeployFileError(f"{DEPLOY_FILE}: packages: a list with a package or more is wanted, not {names!r}")
    for name in names:
        if not isinstance(name, str) or not PACKAGE_NAME.fullmatch(name):
            raise DeployFileError(f"{DEPLOY_FILE}: packages: {name!r} is not the name of a package")
        if names.count(name) > 1:
            raise DeployFileError(f"{DEPLOY_FILE}: packages: {name} is listed twice")
    return tuple(names)


def main() -> int:
    """Prints the packages of the repository that this file lies in."""
    try:
        deploy_file = read_deploy_file(pathlib.Path(__file__).resolve().parent.parent)
    except DeployFileError as error:
        print(error, file=sys.stderr)
        return 1
    print(*deploy_file.packages, sep="\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
