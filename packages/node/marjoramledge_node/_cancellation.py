"""Cancellation, by the core, of the operation that a task awaits."""

import asyncio
import collections.abc
import typing

from marjoramledge_node import _engine

T = typing.TypeVar("T")


async def run_cancellable(
    engine: _engine.Engine,
    attempt: str,
    operation: collections.abc.Coroutine[typing.Any, typing.Any, T],
) -> T | None:
    """Await an operation that the core may cancel by its attempt id.

    Returns
    -------
    T or None
        The operation's result, or None if the core cancelled the attempt.
        Any other cancellation of the task propagates.
    """
    task = asyncio.current_task()
    if task is None:
        raise AssertionError("not running inside a task")
    if engine.is_cancelled_early(attempt):
        operation.close()
        return None
    is_cancelled = False

    def cancel() -> None:
        nonlocal is_cancelled
        is_cancelled = True
        task.cancel()

    engine.register_canceller(attempt, cancel)
    try:
        return await operation
    except asyncio.CancelledError:
        if not is_cancelled or task.uncancel() > 0:
            raise
        return None
    finally:
        engine.remove_canceller(attempt)
