"""Open connections to the store go silent just after a change."""

import asyncio
import pathlib
import sys

import deployment as standins

FOLDER = pathlib.Path(__file__).resolve().parent
ZONES = ("sapporo-a", "sapporo-b", "asahikawa", "obihiro")
MACHINES = [(zone, service) for service in ("shop", "next") for zone in ZONES]


def build_config(service):
    return standins.configuration(
        [
            standins.rule(
                "page", "/pages/", service, kind="safe", timeout_ms=1000,
                latency_ms=400,
            ),
            standins.rule(
                "steady", "/steady/", "shop", kind="safe", timeout_ms=1000,
                latency_ms=400,
            ),
        ],
        ["shop", "next"],
    )


async def main(has_trouble):
    world = standins.Deployment(FOLDER / "record.txt", MACHINES)
    ran_at = {}
    for machine in world.machines:
        machine.server.work_s = lambda request: 0.03
        machine.server.on_run = lambda server, request: ran_at.setdefault(
            request.headers[standins.ID.lower()], server.service
        )
    sent = []
    tasks = set()
    counts = {}

    async def send_page(machine, target):
        at = world.record.now()
        name, status, _ = await standins.send(
            world, machine, "page", "GET", target, deadline_ms=1000
        )
        sent.append((at, name, target))
        counts[status] = counts.get(status, 0) + 1

    async def send_for(seconds, target, per_s=40):
        ends_at = world.record.now() + seconds
        number = 0
        while world.record.now() < ends_at:
            machine = world.machines[number % len(world.machines)]
            tasks.add(asyncio.create_task(send_page(machine, target)))
            number += 1
            await asyncio.sleep(1 / per_s)

    try:
        if not await world.start(build_config("shop")):
            return 2
        await send_for(4.0, "/steady/1")
        # A change; all nodes that follow the store read it and wait again.
        world.apply(build_config("shop") | {"note": 1})
        await send_for(0.15, "/steady/1")
        if has_trouble:
            count = world.store.silence_connections()
            world.record.note(
                f"{count} open connections to the store go silent"
            )
        # From contact after that on, all nodes are in touch again.
        await send_for(standins.CONTACT_S + 0.1, "/steady/1")
        acknowledged_at = world.apply(build_config("next"))
        due_at = acknowledged_at + standins.CONFIG_APPLY_S
        await send_for(4.0, "/pages/1", per_s=80)
        await asyncio.gather(*tasks)
    finally:
        await world.stop()
    if counts.get(200, 0) < 300:
        print(f"could not run: {counts}", file=sys.stderr)
        return 2
    late = [
        at - acknowledged_at
        for at, name, target in sent
        if target == "/pages/1" and at > due_at and ran_at.get(name) == "shop"
    ]
    result = (
        f"{len(late)} requests that were sent later than "
        f"{standins.CONFIG_APPLY_S} s after the acknowledgement ran at the "
        f"old service, the last one sent {max(late, default=0):.2f} s after "
        f"it (allowed: none); answers: {counts}"
    )
    world.record.note(f"result: {result}")
    print(result)
    return 1 if late else 0


standins.run_case(main)
