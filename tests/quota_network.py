"""A network of node cores that admit calls of limited workspaces."""

import bisect
import collections.abc
import itertools
import random
import sys

from marjoramledge_core import _commands
from marjoramledge_core import _dispatch
from marjoramledge_core import _state
from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_standins import builders
from marjoramledge_standins import virtual_network
import pytest

BOUND = node.QuotaBound()


def workspace(
    name: str, rate_per_s: float | None, burst: float = 0.0
) -> configuration.Workspace:
    """Build a workspace with a limit."""
    return configuration.Workspace(
        name=ids.WorkspaceName(name),
        key_digests=frozenset({configuration.digest_key(name.encode())}),
        rate_per_s=rate_per_s,
        burst=burst,
    )


class QuotaNetwork(virtual_network.Network):
    """Nodes whose callers belong to workspaces.

    A call ends as soon as it would be dispatched.  ``admitted`` holds the
    times at which admitted calls were sent, and ``refused`` and ``decided``
    the times at which calls were sent with their delays.
    """

    def __init__(
        self,
        patch: pytest.MonkeyPatch,
        *,
        count: int,
        seed: int,
        workspaces: collections.abc.Iterable[configuration.Workspace],
        max_rows: int = sys.maxsize,
    ) -> None:
        self.sent: dict[str, tuple[float, str]] = {}
        self.admitted: dict[str, list[float]] = {}
        self.refused: dict[str, list[float]] = {}
        self.retry_after_s: list[float] = []
        self.delays_s: list[float] = []
        self._names = itertools.count()
        self.messages = 0
        self.largest_messages: list[node.Message] = []
        self.has_servers = True
        patch.setattr(_dispatch, "dispatch", self._dispatch)
        super().__init__(count=count, seed=seed, max_rows=max_rows)
        self.link = virtual_network.Link(
            loss=0.001, min_delay_s=0.0002, max_delay_s=0.0045
        )
        self.configure(1, workspaces)
        self.run(12.0)

    def configure(
        self,
        version: int,
        workspaces: collections.abc.Iterable[configuration.Workspace],
    ) -> None:
        """Store a configuration with workspaces."""
        base = builders.build_configuration()
        ref = builders.build_ref(version)
        self.store.contents[ref.digest] = configuration.Configuration(
            organisation="",
            services=tuple(base.services.values()),
            zones=tuple(base.zones.values()),
            kinds=base.kinds,
            measuring=base.measuring,
            default_deadline_s=5.0,
            workspaces=configuration.WorkspaceTable(workspaces),
        )
        self.store.ref = ref

    def call(self, number: int, name: str) -> None:
        """Send a call of a workspace to a node."""
        address = self.address(number)
        if address not in self.nodes or address in self.paused:
            return
        call = f"c{next(self._names)}"
        self.sent[call] = (self.now, name)
        event = builders.build_call(call)
        event.credentials = (f"Bearer {name}",)
        self.submit(address, event)

    def call_at(self, delay_s: float, number: int, name: str) -> None:
        """Send a call after a delay."""
        self._push(delay_s, lambda: self.call(number, name))

    def send_traffic(
        self,
        name: str,
        rate_per_s: float,
        seconds: float,
        entries: collections.abc.Sequence[int],
        rng: random.Random,
    ) -> None:
        """Schedule calls at random instants and entries."""
        at = 0.0
        while (at := at + rng.expovariate(rate_per_s)) < seconds:
            self.call_at(at, rng.choice(entries), name)

    def most_in_window(self, name: str) -> int:
        """Return the most admitted calls in any sliding window."""
        times = sorted(self.admitted.get(name, ()))
        return max(
            (
                bisect.bisect_left(times, at + BOUND.window_s) - index
                for index, at in enumerate(times)
            ),
            default=0,
        )

    def refused_share(self, from_s: float, until_s: float) -> float:
        """Return the share of calls sent in an interval that were refused."""
        refused, admitted = (
            sum(from_s <= at < until_s for times in lists for at in times)
            for lists in (self.refused.values(), self.admitted.values())
        )
        return refused / max(1, refused + admitted)

    def _note_size(self, message: node.Message) -> None:
        entries = len(message.quota_reports) + len(message.quota_shares)
        if entries > 40:
            self.largest_messages.append(message)

    def _dispatch(self, step: _state.Step, call: _state.Call) -> bool:
        if not self.has_servers:
            return False
        name = call.workspace or ids.NO_WORKSPACE
        self.admitted.setdefault(name, []).append(call.arrived_at)
        self.delays_s.append(step.now - call.arrived_at)
        address = step.state.membership.myself.address
        self._push(
            0.0, lambda: self.submit(address, node.CallEnded(call=call.call))
        )
        return True

    def _carry_out(
        self,
        address: node.Address,
        state: node.NodeState,
        command: _commands.Command,
    ) -> None:
        if isinstance(command, _commands.SendMessage):
            self.messages += command.message.kind is node.MessageKind.QUOTA
            self._note_size(command.message)
        if isinstance(command, _commands.RefuseCall):
            sent_at, name = self.sent[command.call]
            self.refused.setdefault(name, []).append(sent_at)
            if command.retry_after_s is not None:
                self.retry_after_s.append(command.retry_after_s)
            return
        super()._carry_out(address, state, command)
