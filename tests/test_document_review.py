"""Review of the operators' documents, and the command that prints it."""

import asyncio
import json
import pathlib
import subprocess
import sys
import tomllib
import typing

from marjoramledge_core import configuration
from marjoramledge_standins import deployment
from marjoramledge_standins import platform_service
import pytest

DATA = pathlib.Path(__file__).parent / "data" / "document_review.toml"
EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
# A digest that is shown whole has at least this many equal digits.
MANY_DIGITS = 16 * "a"

Case = dict[str, typing.Any]


def _load_cases() -> tuple[dict[str, str], dict[str, Case]]:
    document = tomllib.loads(DATA.read_text())
    return document["base"], {case["name"]: case for case in document["cases"]}


BASE, CASES = _load_cases()


def _get_files(case: Case) -> dict[str, str]:
    return {
        "inventory.toml": case.get("inventory", BASE["inventory"]),
        "rules.toml": case.get("rules", BASE["rules"]),
    }


def _write(folder: pathlib.Path, files: dict[str, str]) -> pathlib.Path:
    folder.mkdir()
    for name, text in files.items():
        (folder / name).write_text(text)
    return folder


def _run_check(*arguments: object) -> subprocess.CompletedProcess[str]:
    return _run_command("check", *arguments)


def _run_command(*arguments: object) -> subprocess.CompletedProcess[str]:
    program = "from marjoramledge_cli import _main; _main.main()"
    return subprocess.run(
        [sys.executable, "-c", program, *map(str, arguments)],
        capture_output=True,
        text=True,
        check=False,
        env={},
    )


@pytest.mark.parametrize("case", CASES.values(), ids=lambda c: c["name"])
def test_findings_are_reported_with_their_lines(case: Case) -> None:
    review = configuration.review_documents(_get_files(case))
    for findings, expected in (
        (review.errors, case.get("errors", [])),
        (review.warnings, case.get("warnings", [])),
    ):
        shown = [str(finding) for finding in findings]
        assert len(shown) == len(expected), (case["guards"], shown)
        for finding, start in zip(shown, expected, strict=True):
            assert finding.startswith(start), case["guards"]
            assert MANY_DIGITS not in finding.lower()


# Guards against warnings about the deployments that the project ships.
@pytest.mark.parametrize("name", ["kitabalcony", "cloud-atlas"])
def test_examples_are_clean(name: str) -> None:
    files = {
        file: (EXAMPLES / name / file).read_text()
        for file in configuration.FILE_NAMES
    }
    review = configuration.review_documents(files)
    assert (review.errors, review.warnings) == ((), ())


# Guards against a pipeline that can't tell warnings from errors.
@pytest.mark.parametrize(
    ("name", "exit_status"),
    [
        ("valid documents are clean", 0),
        ("workspaces without keys or with one twice", 1),
        ("a key of two workspaces, and a burst without a rate", 2),
    ],
)
def test_exit_status_and_json(
    tmp_path: pathlib.Path, name: str, exit_status: int
) -> None:
    case = CASES[name]
    folder = _write(tmp_path / "new", _get_files(case))
    ended = _run_check(folder, "--json")
    assert ended.returncode == exit_status, ended.stderr
    shown = json.loads(ended.stdout)
    assert shown["differences"] is None
    for part in ("errors", "warnings"):
        assert len(shown[part]) == len(case.get(part, []))
        for entry in shown[part]:
            assert set(entry) == {"file", "key", "line", "message"}
    text = _run_check(folder)
    assert text.returncode == exit_status
    assert MANY_DIGITS not in (ended.stdout + text.stdout).lower()


# Guards against differences that change the exit status, lack their place or
# show a whole digest.
def test_differences_from_another_folder(tmp_path: pathlib.Path) -> None:
    old = _write(tmp_path / "old", _get_files({}))
    files = _get_files({})
    files["inventory.toml"] = files["inventory.toml"].replace(
        "slots = 4", "slots = 8"
    )
    files["inventory.toml"] += (
        f'[[workspace]]\nname = "alder"\nkey_sha256 = ["{64 * "a"}"]\n'
    )
    files["rules.toml"] += "deadline_ms = 700\n"
    new = _write(tmp_path / "new", files)
    ended = _run_check(new, "--against", old, "--json")
    assert ended.returncode == 0, ended.stderr
    assert MANY_DIGITS not in ended.stdout
    shown = json.loads(ended.stdout)
    places = {
        entry["item"]: (entry["file"], entry["line"], entry["action"])
        for entry in shown["differences"]
    }
    assert places["services.shop.slots"] == ("inventory.toml", 8, "changed")
    assert places["kinds.order.deadline_s"] == ("rules.toml", 1, "changed")
    assert places["workspaces.alder.key_sha256"] == (
        "inventory.toml",
        12,
        "added",
    )
    text = _run_check(new, "--against", old).stdout
    assert "  inventory.toml:8: ~ services.shop.slots: 4 -> 8\n" in text
    assert MANY_DIGITS not in text


# Guards against a comparison with another version than that in force, and
# against a check that writes to the store.
def test_differences_from_the_version_in_force(tmp_path: pathlib.Path) -> None:
    files = _get_files({})
    old = _write(tmp_path / "old", files)
    files["inventory.toml"] = files["inventory.toml"].replace(
        "slots = 4", "slots = 8"
    )
    new = _write(tmp_path / "new", files)

    async def run() -> list[dict[str, typing.Any]]:
        port = deployment.find_free_port("127.0.0.1")
        server = await platform_service.start_platform("127.0.0.1", port)
        store = ("--store-url", f"http://127.0.0.1:{port}")
        compare = ("--against-current", "--json", *store)
        shown = []
        try:
            for arguments in (
                ("check", new, *compare),
                ("apply", old, "--author", "alder", *store),
                ("check", new, *compare),
                ("check", old, *compare),
            ):
                ended = await asyncio.to_thread(_run_command, *arguments)
                assert ended.returncode == 0, ended.stderr
                if arguments[0] == "check":
                    shown.append(json.loads(ended.stdout))
        finally:
            server.close()
        return shown

    empty, changed, same = asyncio.run(run())
    assert empty["against"] == "version 0"
    assert {e["action"] for e in empty["differences"]} == {"added"}
    assert changed["against"] == "version 1"
    (difference,) = changed["differences"]
    assert difference["item"] == "services.shop.slots"
    assert (difference["before"], difference["after"]) == ("4", "8")
    assert (same["against"], same["differences"]) == ("version 1", [])


# Guards against a check that passes though nothing was compared.
def test_what_cannot_be_compared_is_an_error(tmp_path: pathlib.Path) -> None:
    new = _write(tmp_path / "new", _get_files({}))
    broken = _write(tmp_path / "broken", {"rules.toml": "= 3"})
    ended = _run_check(new, "--against", broken, "--json")
    assert ended.returncode == 2
    files = [entry["file"] for entry in json.loads(ended.stdout)["errors"]]
    assert files == [
        str(broken / "inventory.toml"),
        str(broken / "rules.toml"),
    ]
    # Port 9 of the loopback interface has no listener.
    store = ("--store-url", "http://127.0.0.1:9", "--timeout-s", "0.1")
    away = _run_check(new, "--against-current", *store)
    assert away.returncode == 2
    assert "(version in force): (file): " in away.stdout
    assert _run_check(new, "--against-current").returncode == 2


# Guards against a traceback, which has the exit status of warnings, and which
# could show a part of a document.
def test_a_document_that_is_not_text_is_an_error(
    tmp_path: pathlib.Path,
) -> None:
    folder = _write(tmp_path / "new", _get_files({}))
    (folder / "rules.toml").write_bytes(b"\xff" * 8)
    ended = _run_check(folder)
    assert ended.returncode == 2
    assert "is not UTF-8" in ended.stdout
    assert not ended.stderr


# Guards against a time that grows with the square of the length of an array.
def test_lines_of_a_long_array_are_found() -> None:
    digests = "\n".join(f'    "{number:064x}",' for number in range(20_000))
    files = _get_files({})
    files["inventory.toml"] += (
        f'[[workspace]]\nname = "alder"\nkey_sha256 = [\n{digests}\n]\n'
        "[[workspace]]\n"
        'name = "birch"\n'
    )
    (warning,) = configuration.review_documents(files).warnings
    # 9 lines of the base, then 2 lines, the array and its end.
    assert warning.line == 9 + 3 + 20_000 + 1 + 1
