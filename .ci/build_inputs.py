"""What a CMake build in Makefiles used from outside its source tree, from the records that it leaves."""

import collections.abc
import dataclasses
import enum
import pathlib
import re
import shlex

import shared_objects

COMPILER_PROGRAMS = ("cc1plus", "as", "collect2", "ld")
CACHED_TOOL = re.compile(r"(CMAKE_COMMAND:INTERNAL|CMAKE_\w+:FILEPATH)=(/.*)")
# Libraries that the compiler links unasked, as CMake found them.
IMPLICIT_LIBRARIES = re.compile(r'CMAKE_CXX_IMPLICIT_LINK_LIBRARIES "([^"]*)"')
QUOTED_PATH = re.compile(r'^ +"(/.*)"$', re.MULTILINE)

# Asks the build's compiler a question such as -print-prog-name=ld.
AskCompiler = collections.abc.Callable[[str, str], str]


class InputKind(enum.StrEnum):
    """What a build used a file as."""

    HEADER = "header"
    LIBRARY = "library"
    CMAKE_FILE = "CMake file"
    TOOL = "tool"


@dataclasses.dataclass(frozen=True, order=True)
class BuildInput:
    """A file from outside the source tree, and which part of the build used it."""

    kind: InputKind
    path: str
    user: str


def find_build_folder(source: pathlib.Path) -> pathlib.Path | None:
    """The folder below `source` that CMake configured, or None."""
    caches = sorted(source.glob("*/CMakeCache.txt"))
    return caches[0].parent if caches else None


def inputs_of_build(build: pathlib.Path, source_name: str, ask_compiler: AskCompiler) -> list[BuildInput]:
    """All inputs of the build in `build`, whose sources the build knew as the folder `source_name`."""
    inputs = {*_headers(build, source_name), *_link_inputs(build, ask_compiler), *_loaded_libraries(build)}
    inputs |= {*_cmake_files(build), *_tools(build, ask_compiler)}
    return sorted(found for found in inputs if not found.path.startswith(f"{source_name}/"))


def _headers(build: pathlib.Path, source_name: str) -> collections.abc.Iterator[BuildInput]:
    for depfile in build.rglob("*.o.d"):
        words = shlex.split(depfile.read_text().replace("\\\n", " "))
        compiled, *headers = words[1:]
        for header in headers:
            if header.startswith("/"):
                yield BuildInput(InputKind.HEADER, header, compiled.removeprefix(f"{source_name}/"))


def _link_inputs(build: pathlib.Path, ask_compiler: AskCompiler) -> collections.abc.Iterator[BuildInput]:
    compiler = _cached_tools(build).get("CMAKE_CXX_COMPILER", "")
    for link_file in build.rglob("link.txt"):
        target = link_file.parent.name.removesuffix(".dir")
        for line in link_file.read_text().splitlines():
            program, *arguments = shlex.split(line)
            yield BuildInput(InputKind.TOOL, program, target)
            for argument in arguments:
                if argument.startswith("/"):
                    yield BuildInput(InputKind.LIBRARY, argument, target)
                elif argument.startswith("-l"):
                    path = _library(argument.removeprefix("-l"), compiler, ask_compiler)
                    yield BuildInput(InputKind.LIBRARY, path, target)
    for record in build.glob("CMakeFiles/*/CMakeCXXCompiler.cmake"):
        for names in IMPLICIT_LIBRARIES.findall(record.read_text()):
            for name in set(names.split(";")) - {""}:
                yield BuildInput(InputKind.LIBRARY, _library(name, compiler, ask_compiler), "the compiler")


def _loaded_libraries(build: pathlib.Path) -> collections.abc.Iterator[BuildInput]:
    for built in shared_objects.elf_files(build):
        for name, path in shared_objects.loaded_by(built).items():
            yield BuildInput(InputKind.LIBRARY, path or name, str(built.relative_to(build)))


def _library(name: str, compiler: str, ask_compiler: AskCompiler) -> str:
    for suffix in (".so", ".a"):
        path = ask_compiler(compiler, f"-print-file-name=lib{name}{suffix}")
        if path.startswith("/"):
            return path
    return f"-l{name}"


def _cmake_files(build: pathlib.Path) -> collections.abc.Iterator[BuildInput]:
    record = build / "CMakeFiles/Makefile.cmake"
    if record.exists():
        for path in QUOTED_PATH.findall(record.read_text()):
            yield BuildInput(InputKind.CMAKE_FILE, path, "the configuration")


def _tools(build: pathlib.Path, ask_compiler: AskCompiler) -> collections.abc.Iterator[BuildInput]:
    yield BuildInput(InputKind.TOOL, "/bin/sh", "the build line")
    tools = _cached_tools(build)
    for variable, path in tools.items():
        yield BuildInput(InputKind.TOOL, path, variable)
    if "CMAKE_CXX_COMPILER" in tools:
        for program in COMPILER_PROGRAMS:
            path = ask_compiler(tools["CMAKE_CXX_COMPILER"], f"-print-prog-name={program}")
            yield BuildInput(InputKind.TOOL, path, "the compiler")


def _cached_tools(build: pathlib.Path) -> dict[str, str]:
    tools = {}
    for line in (build / "CMakeCache.txt").read_text().splitlines():
        entry = CACHED_TOOL.fullmatch(line)
        if entry:
            tools[entry[1].partition(":")[0]] = entry[2]
    return tools
