"""Settings that change while a node starts or runs."""

import asyncio
import dataclasses
import typing

from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _options
from marjoramledge_node import _reload
from marjoramledge_node import peers
from returns import result

HOST = "127.0.0.1"
# Ends a hanging test; not a performance bound.
HANG_TIMEOUT_S = 2.0


class _Engine:
    """Collects the events that are submitted."""

    def __init__(self) -> None:
        self.submitted: asyncio.Queue[object] = asyncio.Queue()

    def submit(self, event: object) -> None:
        self.submitted.put_nowait(event)


def _build_options() -> _options.Options:
    address = node.Address(host=HOST, port=1)
    return _options.Options(
        node_id=ids.NodeId("n0"),
        zone=ids.ZoneName("north"),
        caller_address=address,
        peer_address=address,
        local_address=address,
        seeds=(),
        keys=peers.parse_keys("k1:a-secret-of-this-test").unwrap(),
        core_options=node.Options(stop_limit_s=1.0),
        log_format=_options.LogFormat.JSON,
        log_level=_options.LogLevel.INFO,
        statsd_address=None,
        statsd_prefix="test",
    )


async def _find_first_event(
    started_with: _options.Options, current: _options.Options
) -> object:
    engine = _Engine()
    reloader = _reload.SettingsReloader(
        engine=typing.cast(typing.Any, engine),
        options=started_with,
        read=lambda: result.Success(current),
    )
    running = asyncio.create_task(reloader.run())
    try:
        async with asyncio.timeout(HANG_TIMEOUT_S):
            return await engine.submitted.get()
    finally:
        running.cancel()


# Guards against settings that stay the old ones for seconds, since the signal
# of their change came between their reading and the start of the node.
def test_settings_that_changed_during_the_start_take_effect_at_once() -> None:
    options = _build_options()
    core_options = node.Options(stop_limit_s=7.0)
    changed = dataclasses.replace(options, core_options=core_options)
    event = asyncio.run(_find_first_event(options, changed))
    assert event == node.OptionsChanged(options=core_options)
