"""Reload of the settings on SIGHUP and periodically.

The core's options take effect at once.  Addresses, names and keys are fixed
while the process runs; a change of them is logged and takes effect at the
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

# Settings change a few times a day; reading them takes a millisecond.
CHECK_PERIOD_S: typing.Final = 5.0


class SettingsReloader:
    """Applies changed settings to the running node.

    Parameters
    ----------
    engine
        The node's engine.
    options
        The options that the node was started with.
    read
        Reads the current settings.
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
        """Reload the settings now and periodically, until cancelled.

        A signal that came while the process started was passed over.
        """
        while True:
            self.reload_settings()
            await asyncio.sleep(CHECK_PERIOD_S)

    def reload_settings(self) -> None:
        """Read the settings and apply the changed ones."""
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
                "changed settings need a restart to take effect"
            )
        self._options = options
        self._engine.submit(node.OptionsChanged(options=options.core_options))

    def _log_problem(self, problem: str) -> None:
        if problem != self._problem:
            self._problem = problem
            loguru.logger.bind(event="settings-invalid").warning(
                "invalid settings ignored: {}", problem
            )
