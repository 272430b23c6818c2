"""Reads the settings again: on SIGHUP, and now and then without a signal.

Options of the decisions take effect at once.  Addresses, names and keys are
fixed for the life of a process; a change of them is logged and waits for the
next start.
"""

import asyncio
import dataclasses
import typing

import loguru
from marjoramledge_core import node
from returns import result

from marjoramledge_node import _engine
from marjoramledge_node import _environment
from marjoramledge_node import _options

# Settings change a few times a day; reading them costs a millisecond.
CHECK_PERIOD_S: typing.Final = 5.0


class SettingsReloader:
    """Keeps the node's options as its settings say.

    Parameters
    ----------
    engine
        The node's engine.
    options
        What the node was started with.
    read
        Reads the settings again.
    """

    def __init__(
        self,
        *,
        engine: _engine.Engine,
        options: _options.Options,
        read: _environment.OptionsReader,
    ) -> None:
        self._engine = engine
        self._options = options
        self._read = read
        self._problem = ""

    async def run(self) -> None:
        """Look at the settings now and then, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            self.reload_settings()

    def reload_settings(self) -> None:
        """Read the settings and take what has changed."""
        read = self._read()
        if isinstance(read, result.Failure):
            self._log_problem(read.failure())
            return
        self._problem = ""
        options = read.unwrap()
        if options == self._options:
            return
        fixed = dataclasses.replace(
            options, core_options=self._options.core_options
        )
        if fixed != self._options:
            loguru.logger.bind(event="settings-need-restart").warning(
                "settings changed that a start alone can take"
            )
        self._options = options
        self._engine.submit(node.OptionsChanged(options=options.core_options))

    def _log_problem(self, problem: str) -> None:
        if problem != self._problem:
            self._problem = problem
            loguru.logger.bind(event="settings-invalid").warning(
                "settings not taken: {}", problem
            )
