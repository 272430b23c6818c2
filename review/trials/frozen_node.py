"""A zone is emptied, taken back and emptied while a machine is frozen."""

import asyncio
import pathlib
import signal
import sys

import deployment as standins

FOLDER = pathlib.Path(__file__).resolve().parent
# The clients of the kind "snow" are in obihiro, which has one machine.
MACHINES = [
    ("obihiro", "shop"), ("sapporo-a", "shop"), ("sapporo-a", "shop"),
    ("sapporo-b", "shop"), ("sapporo-b", "shop"), ("asahikawa", "shop"),
    ("asahikawa", "shop"),
]
EVACUATED = ("op", "evacuate/asahikawa")
FREEZE_S = 4.0
AFTER_S = 60.0


async def main(has_trouble):
    world = standins.Deployment(FOLDER / "record.txt", MACHINES)
    config = standins.configuration(
        [
            standins.rule(
                "page", "/pages/", "shop", kind="safe", timeout_ms=1000,
                latency_ms=400,
            ),
            standins.rule(
                "snow", "/snow/", "shop", kind="safe", timeout_ms=1000,
                latency_ms=400,
            ),
        ],
        ["shop"],
    )
    for machine in world.machines:
        machine.server.work_s = lambda request: 0.06
    frozen = world.machines[0]
    answers = {"page": {}, "snow": {}}
    tasks = set()
    is_over = False

    async def send_request(machine, kind, number):
        # As its clients do, comes again once where it was refused.
        for _ in range(2):
            _, status, headers = await standins.send(
                world, machine, kind, "GET", f"/{kind}s/{number % 50}"
                if kind == "page" else f"/snow/{number % 50}",
                deadline_ms=1000,
            )
            if status != 503:
                break
            wait_s = float(headers.get("retry-after", "0.3"))
            await asyncio.sleep(min(0.3, wait_s))
        counts = answers[kind]
        counts[status] = counts.get(status, 0) + 1

    async def send_requests():
        number = 0
        while not is_over:
            for machine in world.machines:
                kind = "snow" if machine is frozen else "page"
                tasks.add(
                    asyncio.create_task(send_request(machine, kind, number))
                )
                await asyncio.sleep(0.02)
            number += 1

    def evacuate(is_out):
        world.store.write(*EVACUATED, {} if is_out else None)
        world.record.note(
            f"zone asahikawa is {'emptied' if is_out else 'taken back'}"
        )

    try:
        if not await world.start(config):
            return 2
        sending = asyncio.create_task(send_requests())
        await asyncio.sleep(4.0)
        if has_trouble:
            frozen.signal_node(signal.SIGSTOP)
        await asyncio.sleep(0.5)
        evacuate(True)
        await asyncio.sleep(1.2)
        evacuate(False)
        await asyncio.sleep(1.2)
        evacuate(True)
        await asyncio.sleep(FREEZE_S - 2.9)
        if has_trouble:
            frozen.signal_node(signal.SIGCONT)
        await asyncio.sleep(AFTER_S)
        is_over = True
        await sending
        await asyncio.gather(*tasks)
    finally:
        is_over = True
        await world.stop()
    if answers["page"].get(200, 0) < 1000:
        print(f"could not run: {answers}", file=sys.stderr)
        return 2

    def share(*kinds):
        counts = [answers[kind] for kind in kinds]
        served = sum(each.get(200, 0) for each in counts)
        return served / sum(sum(each.values()) for each in counts)

    is_starved = share("snow") < 0.25 * share("page", "snow")
    result = (
        f"served: {share('snow'):.3f} of the kind snow, "
        f"{share('page', 'snow'):.3f} of all requests; answers: {answers}"
    )
    world.record.note(f"result: {result}")
    print(result)
    return 1 if is_starved else 0


standins.run_case(main)
