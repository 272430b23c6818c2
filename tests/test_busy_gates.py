"""Calls that meet gates without room."""

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


# Guards against refusals while most servers have not been asked.
def test_a_call_finds_the_one_gate_that_has_room() -> None:
    driver = _build_driver()
    asked: set[ids.NodeId] = set()
    commands = driver.arrive("c")
    while len(asked) < PEERS - 1:
        (sent,) = commands
        assert isinstance(sent, node.SendToPeer)
        asked.add(sent.node)
        commands = _refuse(driver, sent)
    (sent,) = commands
    assert isinstance(sent, node.SendToPeer)
    assert sent.node not in asked


# Guards against an overloaded fleet that is busy with refusing.
def test_moves_stay_a_bounded_part_of_the_calls() -> None:
    driver = _build_driver()
    calls, offers = 400, 0
    for number in range(calls):
        commands = driver.arrive(f"c{number}")
        while commands and isinstance(commands[0], node.SendToPeer):
            offers += 1
            commands = _refuse(driver, commands[0])
    budget = driver.state.budgets[ids.ServiceName("shop")]
    moves = budget.reroute_capacity + budget.reroutes_per_call * calls
    assert offers <= calls + moves
