"""Runs the cases of the operators' documents, and reads the examples."""

import pathlib
import tomllib
import typing

from marjoramledge_core import configuration
import pytest

DATA = pathlib.Path(__file__).parent / "data" / "documents.toml"
EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


def _load_cases() -> tuple[dict[str, str], list[dict[str, typing.Any]]]:
    document = tomllib.loads(DATA.read_text())
    return document["base"], document["cases"]


BASE, CASES = _load_cases()


@pytest.mark.parametrize("case", CASES, ids=lambda case: case["name"])
def test_problems_are_all_reported(case: dict[str, typing.Any]) -> None:
    files = {
        "inventory.toml": case.get("inventory", BASE["inventory"]),
        "rules.toml": case.get("rules", BASE["rules"]),
    }
    parsed = configuration.parse_documents(files)
    problems = parsed.swap().value_or(())
    assert len(problems) == len(case["problems"]), [*map(str, problems)]
    for problem, expected in zip(problems, case["problems"], strict=True):
        assert str(problem).startswith(expected)


@pytest.mark.parametrize("name", ["kitabalcony", "cloud-atlas"])
def test_examples_are_valid_and_at_full_size(name: str) -> None:
    files = {
        file: (EXAMPLES / name / file).read_text()
        for file in configuration.FILE_NAMES
    }
    parsed = configuration.parse_documents(files).unwrap()
    assert len(parsed.zones) == 4
    servers = {s.name: s.servers for s in parsed.services.values()}
    assert servers in (
        {"shopfront": 5, "advisor": 4},
        {"podani": 6, "katalog": 4},
    )


def test_kinds_that_no_rule_names_are_never_idempotent() -> None:
    files = {"inventory.toml": BASE["inventory"], "rules.toml": BASE["rules"]}
    parsed = configuration.parse_documents(files).unwrap()
    service = parsed.find_service("SHOP.example:8080")
    assert service is not None
    kind = parsed.classify(service.name, "GET", "/anything")
    assert not kind.idempotent
    named = parsed.classify(service.name, "POST", "/orders")
    assert named.priority is configuration.Priority.CRITICAL
