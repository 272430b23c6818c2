"""A node is killed just after its server came back cold."""

import asyncio
import pathlib
import signal
import sys

import deployment as standins

FOLDER = pathlib.Path(__file__).resolve().parent
ZONES = ("asahikawa", "sapporo-a", "sapporo-b", "obihiro")
# One of nine machines is struck, as the share of the site's node_kill says.
MACHINES = [(ZONES[number % 4], "shop") for number in range(9)]
# A burst of users at the struck machine; its warm server bears 400 a second.
CLIENTS = 8
WORK_S = 0.03
# Seconds from the return of the server to the kill of the node beside it.
KILLS_AFTER_S = (0.15, 0.15, 0.2, 0.2)
RESTART_S = 0.05
# The rate that a cold server bears, times coldOver, plus coldSlack.
BOUND = 20.0 * 1.5 + 5.0


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
    struck = world.machines[0]
    sent_at = {}
    cold_runs = []

    def note_run(server, request):
        if server is struck.server and server.cold_ms() > 0:
            name = request.headers[standins.ID.lower()]
            # The request's number, then when it was sent and arrived.
            cold_runs.append((server.starts, sent_at[name], world.record.now()))

    for machine in world.machines:
        machine.server.work_s = lambda request: WORK_S
        machine.server.on_run = note_run
    answers = {}
    is_over = False
    count = 0

    async def use(machine, pause_s):
        nonlocal count
        while not is_over:
            count += 1
            sent_at[f"page-{count}"] = world.record.now()
            _, status, _ = await standins.send(
                world, machine, "page", "GET", f"/pages/{count}",
                deadline_ms=1000,
            )
            answers[status] = answers.get(status, 0) + 1
            await asyncio.sleep(pause_s)

    users = []
    try:
        if not await world.start(config):
            return 2
        users += [
            asyncio.create_task(use(struck, 0.02)) for _ in range(CLIENTS)
        ]
        users += [
            asyncio.create_task(use(machine, 0.1))
            for machine in world.machines[1:]
        ]
        for kill_after_s in KILLS_AFTER_S:
            await asyncio.sleep(3.0)
            struck.server.crash()
            await asyncio.sleep(struck.server.back_s + kill_after_s)
            if has_trouble:
                await struck.stop_node(signal.SIGKILL)
                await asyncio.sleep(RESTART_S)
                await struck.start_node()
                if not await struck.wait_ready():
                    return 2
            await asyncio.sleep(4.0)
        is_over = True
        await asyncio.gather(*users)
    finally:
        is_over = True
        await world.stop()
    if answers.get(200, 0) < 1000 or not cold_runs:
        print(f"could not run: {answers}", file=sys.stderr)
        return 2
    most = []
    for start in sorted({run[0] for run in cold_runs}):
        runs = [run for run in cold_runs if run[0] == start]
        # Requests that were sent and arrived inside one second.
        most.append(
            max(
                sum(
                    sent >= since and arrived < since + 1.0
                    for _, sent, arrived in runs
                )
                for _, since, _ in runs
            )
        )
    result = (
        f"most requests in one second to the cold server, each time that it "
        f"came back: {most} (allowed: {BOUND:.0f}); answers: {answers}"
    )
    world.record.note(f"result: {result}")
    print(result)
    return 1 if max(most) > BOUND else 0


standins.run_case(main)
