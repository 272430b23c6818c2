"""A server leaves in an outage of the store; its node is killed after that."""

import asyncio
import json
import pathlib
import signal
import sys

import deployment as standins
import wire

FOLDER = pathlib.Path(__file__).resolve().parent
ZONES = ("praha-a", "praha-b", "kladno", "beroun")
MACHINES = [(ZONES[number % 4], "shop") for number in range(10)]
PER_S = 100.0
DRAIN_S = 2.0
OUTAGE_S = 4.5
LATE_BEAT_S = 3.5
# The server serves for drain after the acknowledgement and some seconds more.
EXIT_S = 11.0


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
    leaver = world.machines[0]
    server = leaver.server
    acked_at = in_touch_at = None
    late = []

    def note_run(which, request):
        now = world.record.now()
        if which is server and acked_at and now > acked_at + DRAIN_S:
            if now > in_touch_at:
                late.append(now - acked_at)

    for machine in world.machines:
        machine.server.work_s = lambda request: 0.05
        machine.server.on_run = note_run
    is_over = False
    tasks = set()

    async def send_pages():
        number = 0
        while not is_over:
            number += 1
            machine = world.machines[number % len(world.machines)]
            tasks.add(
                asyncio.create_task(
                    standins.send(
                        world, machine, "page", "GET", f"/pages/{number}",
                        deadline_ms=1000,
                    )
                )
            )
            await asyncio.sleep(1 / PER_S)

    def build_call(action, document):
        return wire.build_request(
            "POST",
            f"/api/instances/{server.id}/{action}",
            {"Host": "node", "Content-Type": "application/json"},
            json.dumps(document).encode(),
        )

    try:
        if not await world.start(config):
            return 2
        pages = asyncio.create_task(send_pages())
        await asyncio.sleep(2.0)
        control = (leaver.ip, world.ports["control"])
        # A heartbeat from before the server leaves; it will arrive late.
        late_beat = build_call(
            "heartbeat",
            {
                "address": f"{leaver.ip}:{world.ports['app']}",
                "born": server.born,
                "info": {
                    "service": "shop", "version": "v1", "zone": leaver.zone,
                    "slots": 12,
                },
                "status": {
                    "state": "ready", "seqNo": 1000, standins.COLD_LEFT: "0ms",
                },
            },
        )
        began = world.record.now()
        if has_trouble:
            world.store.is_silent = True
            world.store.silence_connections()
        await asyncio.sleep(0.3)
        server.leave()
        answer = await wire.exchange(
            control, build_call("deregister", {"born": server.born}), 1.0
        )
        if answer is None or answer[0] // 100 != 2:
            return 2
        in_touch_at = began + OUTAGE_S + standins.CONTACT_S + 0.1
        acked_at = world.record.now()
        world.record.note(f"{server.id}: leaving acknowledged")
        if has_trouble:
            await leaver.stop_node(signal.SIGKILL)
            await asyncio.sleep(0.1)
            await leaver.start_node()
        await asyncio.sleep(began + LATE_BEAT_S - world.record.now())
        await wire.exchange(control, late_beat, 1.0)
        world.record.note("a late heartbeat arrived")
        await asyncio.sleep(began + OUTAGE_S - world.record.now())
        world.store.is_silent = False
        await asyncio.sleep(began + EXIT_S - world.record.now())
        server.end()
        is_over = True
        await pages
        await asyncio.gather(*tasks)
    finally:
        is_over = True
        await world.stop()
    result = (
        f"{len(late)} requests began at the server later than {DRAIN_S} s "
        f"after its leaving was acknowledged, with all machines in touch "
        f"again, the last one {max(late, default=0):.2f} s after it"
    )
    world.record.note(f"result: {result}")
    print(result)
    return 1 if late else 0


standins.run_case(main)
