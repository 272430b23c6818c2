"""Calls that are offered to gates without free slots."""

from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_standins import builders

PEERS = 8


def _refuse(
    driver: builders.CoreDriver, sent: node.SendToPeer
) -> list[node.Command]:
    return driver.submit(
        node.AttemptFailed(
            call=sent.call,
            attempt=sent.attempt,
            run=node.RunState.NOT_RUN,
            reason=node.Reason.OVERLOADED,
            load=node.LoadReport(in_flight=4, limit=4, service_s=0.1),
            is_body_consumed=False,
        )
    )


def _build_driver() -> builders.CoreDriver:
    driver = builders.CoreDriver()
    driver.configure()
    for number in range(1, PEERS + 1):
        driver.learn_peer(f"n{number}", zone="north")
    return driver


# Guards against calls that are refused before most gates were tried.
def test_a_call_reaches_the_only_gate_with_free_slots() -> None:
    driver = _build_driver()
    tried: set[ids.NodeId] = set()
    commands = driver.arrive("c")
    while len(tried) < PEERS - 1:
        (sent,) = commands
        assert isinstance(sent, node.SendToPeer)
        tried.add(sent.node)
        commands = _refuse(driver, sent)
    (sent,) = commands
    assert isinstance(sent, node.SendToPeer)
    assert sent.node not in tried


# Guards against an overloaded fleet that spends its time on refusals.
def test_reroutes_are_bounded_by_the_budget() -> None:
    driver = _build_driver()
    calls, offers = 400, 0
    for number in range(calls):
        commands = driver.arrive(f"c{number}")
        while commands and isinstance(commands[0], node.SendToPeer):
            offers += 1
            commands = _refuse(driver, commands[0])
    budget = driver.state.budgets[ids.ServiceName("shop")]
    reroutes = budget.reroute_capacity + budget.reroutes_per_call * calls
    assert offers <= calls + reroutes
