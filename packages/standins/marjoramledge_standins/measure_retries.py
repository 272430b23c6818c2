"""Measures retry amplification through a chain of eleven services.

Every level is the real core of an entry node in front of two servers.  A
server of the last level aborts half of its requests; an application in between
answers its caller with an error when its own call to the next level fails.
"""

import random
import typing

from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node

from marjoramledge_standins import measure_choice
from marjoramledge_standins import measurement

LEVELS: typing.Final = 11
CALLS: typing.Final = 2000
BOUND: typing.Final = 1.3
CALL_PERIOD_S: typing.Final = 0.01


class _Chain:
    def __init__(self, *, seed: int) -> None:
        self._rng = random.Random(seed)
        self._now = 1.0
        self._numbers = 0
        self.reached_last = 0
        documents = measure_choice.build_documents(services=LEVELS)
        declared = configuration.parse_documents(documents).unwrap()
        members = measure_choice.build_members(
            2 * LEVELS, services=LEVELS, zones=1
        )
        self._entries = [
            measure_choice.build_state(members, declared, self._rng)
            for _ in range(LEVELS)
        ]

    def pass_time(self, seconds: float) -> None:
        """Advance the clock."""
        self._now += seconds

    def call(self, level: int) -> bool:
        """Call a level and return whether it answered with success."""
        self._numbers += 1
        call = ids.CallId(f"c{self._numbers}")
        commands = self._submit(
            level,
            node.CallArrived(
                call=call,
                host=f"s{level}.example",
                method="GET",
                path="/k1/x",
                deadline_s=None,
                is_body_buffered=True,
                fingerprint=ids.Fingerprint(call),
            ),
        )
        is_good = True
        while True:
            command = commands[-1]
            if isinstance(command, node.DeliverAnswer):
                self._submit(level, node.CallEnded(call=call))
                return is_good
            if isinstance(command, node.RefuseCall):
                return False
            if not isinstance(command, node.SendToPeer):
                raise AssertionError(f"unexpected command {command}")
            outcome = self._serve(level)
            is_good = outcome is node.ServerOutcome.ANSWERED
            commands = self._submit(
                level, _to_event(call, command.attempt, outcome)
            )

    def _serve(self, level: int) -> node.ServerOutcome:
        if level == LEVELS - 1:
            self.reached_last += 1
            if self._rng.random() < 0.5:
                return node.ServerOutcome.ABORTED
            return node.ServerOutcome.ANSWERED
        if self.call(level + 1):
            return node.ServerOutcome.ANSWERED
        return node.ServerOutcome.ERRORED

    def _submit(self, level: int, event: node.Event) -> list[node.Command]:
        commands = node.handle(
            self._entries[level], event, self._now, self._rng
        )
        wanted = (node.SendToPeer, node.DeliverAnswer, node.RefuseCall)
        return [c for c in commands if isinstance(c, wanted)]


def _to_event(
    call: ids.CallId, attempt: ids.AttemptId, outcome: node.ServerOutcome
) -> node.Event:
    if outcome is node.ServerOutcome.ABORTED:
        return node.AttemptFailed(
            call=call,
            attempt=attempt,
            run=node.RunState.MAY_HAVE_RUN,
            reason=node.Reason.ANSWER_LOST,
            load=None,
            is_body_consumed=False,
        )
    return node.AttemptAnswered(
        call=call,
        attempt=attempt,
        is_error=outcome is node.ServerOutcome.ERRORED,
        load=None,
    )


def measure_amplification() -> measurement.Measure:
    """Measure the calls that reach the last level per caller's call."""
    chain = _Chain(seed=1)
    for _ in range(CALLS):
        chain.call(0)
        chain.pass_time(CALL_PERIOD_S)
    return measurement.Measure(
        name="retry_amplification_11_deep",
        value=chain.reached_last / CALLS,
        unit="ratio",
        bound=BOUND,
        baseline=1.0,
        runs=CALLS,
    )
