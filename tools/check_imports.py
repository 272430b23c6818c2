"""Checks import rules that the linters don't cover.

The core does no I/O: it imports neither sockets nor clocks nor loggers.  Only
one module may import uvloop and create the event loop.  Everywhere, modules
are imported, not the objects in them.
"""

import ast
import importlib.util
import pathlib
import sys
import typing

FORBIDDEN_IN_CORE: typing.Final = frozenset(
    {
        "aiohttp",
        "asyncio",
        "datetime",
        "io",
        "logging",
        "loguru",
        "os",
        "pathlib",
        "requests",
        "secrets",
        "select",
        "selectors",
        "socket",
        "ssl",
        "statsd",
        "subprocess",
        "sys",
        "tempfile",
        "threading",
        "time",
        "urllib",
        "uuid",
    }
)
# Its stock loop closes descriptors that it doesn't own; LOOP_MODULE works
# around that.
LOOP_LIBRARY: typing.Final = "uvloop"
LOOP_MODULE: typing.Final = "_event_loop.py"
FORBIDDEN_CALLS_IN_CORE: typing.Final = frozenset({"open", "print", "input"})


def find_problems(path: pathlib.Path, *, is_core: bool) -> list[str]:
    """Return the import violations of one file."""
    problems = []
    forbidden = FORBIDDEN_IN_CORE if is_core else frozenset()
    if path.name != LOOP_MODULE:
        forbidden |= {LOOP_LIBRARY}
    for tree in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        for problem in _check_node(tree, forbidden, is_core=is_core):
            problems.append(f"{path}:{problem}")
    return problems


def _check_node(
    tree: ast.AST, forbidden: frozenset[str], *, is_core: bool
) -> list[str]:
    if isinstance(tree, ast.Import):
        names = [alias.name for alias in tree.names]
        return _check_names(tree.lineno, names, forbidden)
    if isinstance(tree, ast.ImportFrom):
        module = tree.module or ""
        problems = _check_names(tree.lineno, [module], forbidden)
        for alias in tree.names:
            if not _is_module(f"{module}.{alias.name}"):
                problems.append(
                    f"{tree.lineno}: {module}.{alias.name} is not a module"
                )
        return problems
    if is_core and isinstance(tree, ast.Call):
        return _check_call(tree)
    return []


def _check_names(
    line: int, names: list[str], forbidden: frozenset[str]
) -> list[str]:
    return [
        f"{line}: must not import {name} here"
        for name in names
        if name.partition(".")[0] in forbidden
    ]


def _check_call(call: ast.Call) -> list[str]:
    function = call.func
    if isinstance(function, ast.Name):
        if function.id in FORBIDDEN_CALLS_IN_CORE:
            return [f"{call.lineno}: the core must not call {function.id}"]
        return []
    if not isinstance(function, ast.Attribute):
        return []
    # Functions of the random module use its global generator.
    owner = function.value
    if isinstance(owner, ast.Name) and owner.id == "random":
        return [f"{call.lineno}: the core must not use global randomness"]
    return []


def _is_module(name: str) -> bool:
    try:
        return importlib.util.find_spec(name) is not None
    except (ImportError, ValueError):
        return False


def main(folder: str) -> int:
    """Check all Python files below a folder and return the exit status."""
    problems = []
    for path in sorted(pathlib.Path(folder).rglob("*.py")):
        is_core = "marjoramledge_core" in path.parts
        problems.extend(find_problems(path, is_core=is_core))
    for problem in problems:
        print(problem, file=sys.stderr)
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
