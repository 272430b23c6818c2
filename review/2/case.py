"""A server goes down and up while the clock steps back; then it leaves."""

import asyncio
import pathlib
import sys

import deployment as standins

FOLDER = pathlib.Path(__file__).resolve().parent
ZONES = ("sapporo-a", "sapporo-b", "asahikawa", "obihiro")
# One of nine servers goes down and up, on the one machine whose clock steps.
MACHINES = [(ZONES[number % 4], "shop") for number in range(9)]
PER_S = 90.0
DRAIN_S = 2.0
# As in the site files: a period of 1.4 s for 6.5 s; 2.4 s back for 6 s.
FLAP_PERIOD_S = 1.4
FLAP_S = 6.5
STEP_MS = 2400
STEP_S = 6.0


async def main(has_trouble):
    world = standins.Deployment(FOLDER / "record.txt", MACHINES)
    config = standins.configuration(
        [
            standins.rule(
                "page", "/pages/", "shop", kind="safe", timeout_ms=1000,
                latency_ms=400,
            )
        ],
        ["shop"],
    )
    leaver = world.machines[0].server
    leaver.keeps_id = True
    leaver.back_s = FLAP_PERIOD_S / 2
    late = []

    def note_run(server, request):
        acked_at = server.leaving_acked_at
        if acked_at and world.record.now() > acked_at + DRAIN_S:
            late.append(world.record.now() - acked_at)

    for machine in world.machines:
        machine.server.work_s = lambda request: 0.06
        machine.server.on_run = note_run
    answers = {}
    tasks = set()
    is_over = False

    async def send_page(number):
        machine = world.machines[number % len(world.machines)]
        _, status, _ = await standins.send(
            world, machine, "page", "GET", f"/pages/{number}",
            deadline_ms=1000,
        )
        answers[status] = answers.get(status, 0) + 1

    async def send_pages():
        number = 0
        while not is_over:
            tasks.add(asyncio.create_task(send_page(number)))
            number += 1
            await asyncio.sleep(1 / PER_S)

    async def step_clock():
        leaver.clock_offset_ms = -STEP_MS
        world.record.note(f"the clock of {leaver.machine.name} steps back")
        await asyncio.sleep(STEP_S)
        leaver.clock_offset_ms = 0
        world.record.note(f"the clock of {leaver.machine.name} is right again")

    try:
        if not await world.start(config):
            return 2
        pages = asyncio.create_task(send_pages())
        await asyncio.sleep(3.0)
        step = None
        if has_trouble:
            flaps = int(FLAP_S / FLAP_PERIOD_S)
            for number in range(flaps):
                leaver.crash()
                if number == flaps - 1:
                    step = asyncio.create_task(step_clock())
                await asyncio.sleep(FLAP_PERIOD_S)
            await step
        # All machines are in touch again before the server leaves.
        await asyncio.sleep(standins.CONTACT_S + 2.0)
        leaver.drain()
        for _ in range(80):
            await asyncio.sleep(0.1)
            if leaver.leaving_acked_at:
                break
        # It serves for as long as it said, and a few seconds longer.
        await asyncio.sleep(DRAIN_S + 4.0)
        leaver.end()
        await asyncio.sleep(1.0)
        is_over = True
        await pages
        await asyncio.gather(*tasks)
    finally:
        is_over = True
        await world.stop()
    if answers.get(200, 0) < 200 or not leaver.leaving_acked_at:
        print(f"could not run: {answers}", file=sys.stderr)
        return 2
    result = (
        f"{len(late)} requests began at the server later than {DRAIN_S} s "
        f"after its leaving was acknowledged, the last one "
        f"{max(late, default=0):.2f} s after it (allowed: none); "
        f"answers: {answers}"
    )
    world.record.note(f"result: {result}")
    print(result)
    return 1 if late else 0


standins.run_case(main)
