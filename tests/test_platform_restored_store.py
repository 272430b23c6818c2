"""A store that comes back from an older copy, and real node processes.

What was written since the copy is gone and its versions are given out again;
the operator writes the newest documents again, possibly late.  Nodes must take
each later change in time, and must not fall back to what the copy held.
"""

import asyncio
import collections
import collections.abc
import time

import platform_deployment
import pytest

# Two nodes of a zone follow the store for the third.
ZONES = ("north", "south") * 3
# Ends a hanging test; not a performance bound.
HANG_TIMEOUT_S = 29.0
# How long requests are sampled after a change had to be in force.
SAMPLED_S = 2.0


def _run(
    story: collections.abc.Callable[
        [platform_deployment.Site], collections.abc.Awaitable[None]
    ],
) -> None:
    """Play a story at a site of its own."""

    async def play() -> None:
        site = platform_deployment.Site(machine_zones=ZONES)
        async with asyncio.timeout(HANG_TIMEOUT_S):
            async with site.run():
                await story(site)

    asyncio.run(play())


async def _check_in_force(
    site: platform_deployment.Site, restored_at: float
) -> None:
    """Check that all routes come into force in time and none is lost."""
    due_at = (
        max(site.operator.acknowledged_at.values())
        + platform_deployment.CONFIG_APPLY_S
    )
    ends_at = due_at + SAMPLED_S
    await asyncio.sleep(ends_at - time.monotonic())
    versions = await site.describe_versions()
    refused = site.find_refused(due_at, ends_at)
    fallen_back = site.find_fallen_back(restored_at)
    assert not refused, f"{_describe(refused)}; {versions}"
    assert not fallen_back, f"{_describe(fallen_back)}; {versions}"
    assert not site.find_unserved(due_at, ends_at), versions


def _describe(samples: list[platform_deployment.Sample]) -> str:
    by_route = collections.Counter(sample.route for sample in samples)
    nodes = {sample.node for sample in samples}
    return (
        f"{len(samples)} answers 404 at {len(nodes)} nodes, "
        f"by route: {dict(by_route)}"
    )


async def _add_routes(site: platform_deployment.Site, count: int) -> None:
    """Add routes one after another, and wait until they are in force."""
    for _ in range(count):
        site.operator.add_route()
        await asyncio.sleep(0.05)
    since = time.monotonic()
    assert await site.wait_until(
        lambda: not site.find_unserved(since, float("inf")), 5.0
    )


# Guards the other tests of this file: the site itself works in time.
def test_a_change_is_in_force_in_time_if_the_store_loses_nothing() -> None:
    async def story(site: platform_deployment.Site) -> None:
        await _add_routes(site, 4)
        began_at = time.monotonic()
        site.operator.write_again()
        await asyncio.sleep(0.05)
        site.operator.add_route()
        await _check_in_force(site, began_at)

    _run(story)


# Guards against nodes that ignore what a restored store says until its
# numbers exceed those that they hold.
@pytest.mark.parametrize("outage_s", [1.0, 0.0], ids=["outage", "no-outage"])
def test_a_change_after_the_store_is_restored_is_in_force_in_time(
    outage_s: float,
) -> None:
    async def story(site: platform_deployment.Site) -> None:
        copy = site.store.take_copy()
        await _add_routes(site, 4)
        restored_at = time.monotonic()
        await site.store.restore(copy, outage_s=outage_s)
        site.operator.write_again()
        await asyncio.sleep(0.05)
        site.operator.add_route()
        await _check_in_force(site, restored_at)

    _run(story)
