"""Backend servers whose answers never end, over real processes.

The endless part is in the head or in the body and stops only when the node
closes its connection.  A stand-in whose connection is not closed stops after
half a gigabyte and records that; no test reads a clock.
"""

import asyncio
import collections.abc
import contextlib
import pathlib

import aiohttp
from marjoramledge_standins import deployment
from marjoramledge_standins import endless
from marjoramledge_standins import measurement

EXAMPLE = pathlib.Path(__file__).parent.parent / "examples" / "kitabalcony"
SHOP = "shopfront.kitabalcony.example"
DEADLINE_MS = 400
# Twice the memory that bodies in flight through one node may use, and far less
# than the stand-in sends.
MAX_GROWTH_MB = 30.0
WARM_UP_ATTEMPTS = 300
# Ends a hanging test; not a performance bound.
HANG_TIMEOUT_S = 60.0
# Forms with a valid head, which the caller receives before the deadline.
WITH_VALID_HEAD = frozenset(
    {
        endless.EndlessForm.CHUNKED_BODY,
        endless.EndlessForm.CHUNK_SIZE,
        endless.EndlessForm.TRAILERS,
        endless.EndlessForm.UNFRAMED_BODY,
    }
)
PLANS = tuple(
    deployment.VmPlan(
        name=f"shop-{number}",
        service="shopfront",
        zone="sapporo-a",
        server_flags=("--service-ms", "2", "--cold-s", "0.2"),
    )
    for number in range(2)
)


@contextlib.asynccontextmanager
async def _running_fleet() -> collections.abc.AsyncIterator[
    deployment.Deployment
]:
    fleet = deployment.Deployment(plans=PLANS)
    try:
        await fleet.start()
        await fleet.apply(EXAMPLE)
        yield fleet
    finally:
        await fleet.stop()


async def _call(
    fleet: deployment.Deployment,
    session: aiohttp.ClientSession,
    call: str,
    **headers: str,
) -> int | None:
    """Make a non-idempotent call; return None if its answer was truncated."""
    sent = {name.replace("_", "-"): value for name, value in headers.items()}
    try:
        async with session.post(
            fleet.vms[0].caller_url + "/orders",
            headers={"Host": SHOP, "X-Call-Id": call, **sent},
        ) as response:
            async for _ in response.content.iter_any():
                pass
            return response.status
    except aiohttp.ClientError:
        return None


async def _wait_until_served(
    fleet: deployment.Deployment, session: aiohttp.ClientSession
) -> None:
    for _ in range(WARM_UP_ATTEMPTS):
        if await _call(fleet, session, "warm") == 200:
            return
        await asyncio.sleep(0.1)
    raise AssertionError("no call is served")


async def _wait_for_end(fleet: deployment.Deployment, call: str) -> list[str]:
    """Wait until every run of a call has recorded how its answer ended."""
    async with asyncio.timeout(HANG_TIMEOUT_S):
        while True:
            events = [r.event for r in fleet.read_records() if r.call == call]
            if events.count("run") < len(events):
                return [event for event in events if event != "run"]
            await asyncio.sleep(0.05)


async def _check_form(
    fleet: deployment.Deployment,
    session: aiohttp.ClientSession,
    form: endless.EndlessForm,
) -> None:
    node = fleet.vms[0].node
    assert node is not None
    before_mb = measurement.read_rss_mb(node.pid)
    async with asyncio.timeout(HANG_TIMEOUT_S):
        status = await _call(
            fleet,
            session,
            form.value,
            X_Endless=form.value,
            Marjoramledge_Deadline_Ms=str(DEADLINE_MS),
        )
    allowed: set[int | None] = {502, 504}
    if form in WITH_VALID_HEAD:
        allowed |= {None}
    if form is endless.EndlessForm.WHOLE_ANSWERS:
        allowed = {200}
    assert status in allowed, form
    assert await _wait_for_end(fleet, form.value) == ["cancelled"], form
    growth_mb = measurement.read_rss_mb(node.pid) - before_mb
    assert growth_mb < MAX_GROWTH_MB, form
    await _wait_until_served(fleet, session)


# Guards against a node that reads an endless answer until it is out of memory,
# or forwards it until the caller disconnects.
def test_an_endless_answer_is_closed_at_the_deadline() -> None:
    async def check_all_forms() -> None:
        async with (
            _running_fleet() as fleet,
            aiohttp.ClientSession() as client_session,
        ):
            async with asyncio.timeout(HANG_TIMEOUT_S):
                await _wait_until_served(fleet, client_session)
            for form in endless.EndlessForm:
                await _check_form(fleet, client_session, form)

    asyncio.run(check_all_forms())
