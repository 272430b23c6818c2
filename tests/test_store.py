"""The store client: circuit breaker, operation budget and results."""

import asyncio

import hypothesis
from hypothesis import strategies
from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_standins import deployment
from marjoramledge_standins import platform_service
from marjoramledge_store import _throttling
from marjoramledge_store import client
from returns import result


def test_the_breaker_opens_allows_one_trial_and_closes() -> None:
    breaker = _throttling.CircuitBreaker()
    for _ in range(_throttling.FAILURE_THRESHOLD):
        assert breaker.allow_operation(0.0)
        breaker.record_failure(0.0, 0.5)
    assert not breaker.allow_operation(0.4)
    assert breaker.allow_operation(0.6)
    assert not breaker.allow_operation(0.6)
    breaker.record_failure(0.6, 0.5)
    assert not breaker.allow_operation(1.5)
    assert breaker.allow_operation(1.7)
    breaker.record_success()
    assert breaker.allow_operation(1.7)
    assert breaker.allow_operation(1.7)


@hypothesis.given(strategies.lists(strategies.floats(0, 2), max_size=200))
def test_the_budget_bounds_operations_over_any_interval(
    gaps: list[float],
) -> None:
    budget = _throttling.OperationBudget()
    now = 0.0
    spent = 0
    for gap in gaps:
        now += gap
        spent += budget.take_token(now)
        limit = _throttling.BURST + now * _throttling.OPERATIONS_PER_S
        assert spent <= limit + 1e-6


def test_results_distinguish_no_answer_from_a_rejected_write() -> None:
    async def run_operations() -> None:
        port = deployment.find_free_port("127.0.0.1")
        url = f"http://127.0.0.1:{port}"
        store = client.StoreClient(base_url=url, timeout_s=0.5)
        unreachable = await store.read_version()
        assert unreachable.failure() is client.StoreError.UNREACHABLE
        server = await platform_service.start_platform("127.0.0.1", port)
        ref = configuration.VersionRef(
            version=ids.ConfigVersion(1), digest=ids.Digest("d1")
        )
        assert (await store.read_version()).unwrap() is None
        first = await store.write_version(
            ref=ref, change_id="one", expected_etag=None
        )
        assert isinstance(first, result.Success)
        second = await store.write_version(
            ref=ref, change_id="two", expected_etag=None
        )
        assert second.failure() is client.StoreError.CONFLICT
        row = (await store.read_version()).unwrap()
        assert row is not None
        assert row.change_id == "one"
        stale = await store.write_version(
            ref=ref, change_id="three", expected_etag='W/"0"'
        )
        assert stale.failure() is client.StoreError.CONFLICT
        missing = await store.get_manifest(ids.Digest("none"))
        assert missing.failure() is client.StoreError.NOT_FOUND
        await store.close()
        server.close()

    asyncio.run(run_operations())
