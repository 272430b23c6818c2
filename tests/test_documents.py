"""Validation of the operators' documents and of the example documents."""

import pathlib
import tomllib
import typing

from marjoramledge_core import configuration
from marjoramledge_core import ids
import pytest

DATA = pathlib.Path(__file__).parent / "data" / "documents.toml"
EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


def _load_cases() -> tuple[dict[str, str], list[dict[str, typing.Any]]]:
    document = tomllib.loads(DATA.read_text())
    return document["base"], document["cases"]


BASE, CASES = _load_cases()


@pytest.mark.parametrize("case", CASES, ids=lambda case: case["name"])
def test_all_problems_are_reported(case: dict[str, typing.Any]) -> None:
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
def test_examples_are_valid_and_of_full_size(name: str) -> None:
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


def test_requests_that_match_no_rule_are_not_idempotent() -> None:
    files = {"inventory.toml": BASE["inventory"], "rules.toml": BASE["rules"]}
    parsed = configuration.parse_documents(files).unwrap()
    service = parsed.find_service("SHOP.example:8080")
    assert service is not None
    kind = parsed.classify(service.name, "GET", "/anything")
    assert not kind.idempotent
    matched = parsed.classify(service.name, "POST", "/orders")
    assert matched.priority is configuration.Priority.CRITICAL


def test_routes_are_found_by_host_and_longest_prefix() -> None:
    (case,) = [c for c in CASES if c["name"].startswith("routes, shares")]
    parsed = configuration.parse_documents(
        {"inventory.toml": case["inventory"], "rules.toml": case["rules"]}
    ).unwrap()
    pages = parsed.find_kind("garden.EXAMPLE:80", "POST", "/orders")
    trial = parsed.find_kind("garden.example", "GET", "/kits/7")
    assert pages is not None
    assert trial is not None
    assert (pages.name, pages.service, pages.target_s) == (
        "pages",
        "shop",
        None,
    )
    assert (trial.name, trial.max_runs, trial.target_s) == ("trial", 3, 0.4)
    picked = [trial.pick_service(draw / 100) for draw in range(100)]
    assert (picked.count(ids.ServiceName("shop")), len(set(picked))) == (90, 2)
    shop = parsed.services[ids.ServiceName("shop")]
    assert (shop.cold_rate_per_s, shop.cold_s) == (16.0, 3.0)


def test_a_plan_shows_a_changed_route() -> None:
    (case,) = [c for c in CASES if c["name"].startswith("routes, shares")]
    files = {"inventory.toml": case["inventory"], "rules.toml": case["rules"]}
    old = configuration.parse_documents(files).unwrap()
    files["rules.toml"] = files["rules.toml"].replace("next = 1", "next = 3")
    new = configuration.parse_documents(files).unwrap()
    (change,) = configuration.compare_configurations(old, new)
    assert change.item == "routes.garden.example/kits/.shares"
    assert (change.before, change.after) == ("next=1,shop=9", "next=3,shop=9")


# Guards against a key, or its digest, that a plan or a problem shows.
def test_a_plan_shows_workspaces_without_their_keys() -> None:
    (case,) = [c for c in CASES if c["name"].startswith("workspaces and")]
    files = {"inventory.toml": case["inventory"], "rules.toml": case["rules"]}
    new = configuration.parse_documents(files).unwrap()
    alder = new.workspaces.get(ids.WorkspaceName("alder"))
    assert alder is not None
    assert alder.priority is configuration.Priority.HIGH
    assert new.kinds[0].is_public
    files["inventory.toml"] = files["inventory.toml"].replace(
        f'"{64 * "a"}", ', ""
    )
    old = configuration.parse_documents(files).unwrap()
    (change,) = configuration.compare_configurations(old, new)
    assert str(change) == (
        "~ workspaces.alder.key_sha256: bbbbbbbb... -> aaaaaaaa...,bbbbbbbb..."
    )
    shown = "".join(map(str, configuration.compare_configurations(None, new)))
    assert 16 * "a" not in shown
    (broken,) = [c for c in CASES if c["name"].startswith("problems of work")]
    files["inventory.toml"] = broken["inventory"]
    problems = configuration.parse_documents(files).failure()
    assert not any("the-key-itself" in str(problem) for problem in problems)
    assert not any(16 * "a" in str(problem) for problem in problems)
