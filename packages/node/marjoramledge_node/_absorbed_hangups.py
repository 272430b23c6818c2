"""Keeps SIGHUP from ending a process that is still starting.

SIGHUP asks a node to read its settings again, but until the node handles it,
its default is to end the process.  Loading the libraries takes most of that
time, so the modules with which a process starts import this one before all
others.  The node reads its settings once more as soon as it handles SIGHUP, so
nothing is missed.
"""

import signal
import threading
import types
import typing

_DEFAULTS: typing.Final = (signal.SIG_DFL, None)


def _pass_over(_number: int, _frame: types.FrameType | None) -> None:
    """Do nothing; unlike an ignored signal, it isn't passed to children."""


def _hold_hangups() -> None:
    is_main = threading.current_thread() is threading.main_thread()
    if is_main and signal.getsignal(signal.SIGHUP) in _DEFAULTS:
        signal.signal(signal.SIGHUP, _pass_over)


_hold_hangups()
