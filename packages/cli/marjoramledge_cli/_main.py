"""Commands and flags of ``marjoramledge``."""

import asyncio
import collections.abc
import enum
import getpass
import pathlib
import sys
import typing

from marjoramledge_core import configuration
from marjoramledge_core import node
from marjoramledge_node import peers
from marjoramledge_store import client
from returns import result
import typer

from marjoramledge_cli import _apply
from marjoramledge_cli import _documents
from marjoramledge_cli import _explain
from marjoramledge_cli import _fleet_client
from marjoramledge_cli import _reports
from marjoramledge_cli import _review

DEFAULT_TIMEOUT_S: typing.Final = 10.0
MAX_SEED_NODES: typing.Final = 16

app = typer.Typer(
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    no_args_is_help=True,
    help="Configure and inspect a marjoramledge fleet.",
)


class ExitStatus(enum.IntEnum):
    """Exit statuses that scripts can rely on."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNKNOWN = 4
    NOT_IN_FORCE = 5


class CheckStatus(enum.IntEnum):
    """Exit statuses of ``check``; a usage error has that of errors."""

    CLEAN = 0
    WARNINGS = 1
    ERRORS = 2


Folder = typing.Annotated[
    pathlib.Path,
    typer.Argument(
        help="Folder with inventory.toml and rules.toml.",
        exists=True,
        file_okay=False,
    ),
]
StoreUrl = typing.Annotated[
    str,
    typer.Option(
        "--store-url",
        envvar="MARJORAMLEDGE_STORE_URL",
        help="URL of the platform's table service and object store.",
    ),
]
Keys = typing.Annotated[
    str,
    typer.Option(
        "--keys",
        envvar="MARJORAMLEDGE_KEYS",
        help="Shared keys as ID:SECRET[,ID:SECRET...].",
    ),
]
Peers = typing.Annotated[
    str,
    typer.Option(
        "--peers",
        envvar="MARJORAMLEDGE_PEERS",
        help="Peer addresses IP:PORT[,IP:PORT...] of nodes to ask; by default "
        "some are read from the store.",
    ),
]
Timeout = typing.Annotated[
    float,
    typer.Option(
        "--timeout-s",
        envvar="MARJORAMLEDGE_TIMEOUT_S",
        min=0.1,
        max=3600,
        help="Seconds for which to retry while the store does not answer.",
    ),
]


@app.command()
def validate(folder: Folder) -> None:
    """Check the documents in a folder; exit status 1 if any is invalid."""
    proposed = _load_configuration(folder)
    print(
        f"{folder}: valid, {len(proposed.services)} services, "
        f"{len(proposed.zones)} zones, {len(proposed.kinds)} kinds of request"
    )


@app.command()
def check(
    folder: Folder,
    *,
    against: typing.Annotated[
        pathlib.Path | None,
        typer.Option(
            "--against",
            help="Show the differences from another folder.",
            exists=True,
            file_okay=False,
        ),
    ] = None,
    against_current: typing.Annotated[
        bool,
        typer.Option(
            "--against-current",
            help="Show the differences from the version in force.",
        ),
    ] = False,
    store_url: StoreUrl = "",
    timeout_s: Timeout = DEFAULT_TIMEOUT_S,
    as_json: typing.Annotated[
        bool, typer.Option("--json", help="Print one JSON object.")
    ] = False,
) -> None:
    """Report errors, warnings and differences of a folder before an apply.

    Exit status 0 if there are no errors and no warnings, 1 if there are
    warnings only, 2 if there are errors.
    """
    if against is not None and against_current:
        raise typer.BadParameter("give either --against or --against-current")
    if against_current and not store_url:
        raise typer.BadParameter("--against-current needs --store-url")

    def read_current() -> result.Result[_apply.CurrentVersion, _apply.Failure]:
        return _run_with_store(
            store_url, lambda store: _apply.read_current(store, timeout_s)
        )

    review = _review.review_folder(
        folder, against, read_current if against_current else None
    )
    if as_json:
        print(_reports.format_review_json(review))
    else:
        print(_reports.format_review(review))
    if review.errors:
        raise typer.Exit(int(CheckStatus.ERRORS))
    if review.warnings:
        raise typer.Exit(int(CheckStatus.WARNINGS))


@app.command()
def explain(
    request: typing.Annotated[
        str, typer.Argument(help="The caller's request id, or a call id.")
    ],
    logs: typing.Annotated[
        list[pathlib.Path] | None,
        typer.Argument(
            help="Log files of nodes (JSON lines); standard input by default.",
            exists=True,
            dir_okay=False,
        ),
    ] = None,
) -> None:
    """Show the log lines of one request; exit status 1 if there are none."""
    texts = (
        [path.read_text(encoding="utf-8") for path in logs]
        if logs
        else [sys.stdin.read()]
    )
    parsed = (
        _explain.parse_line(line)
        for text in texts
        for line in text.splitlines()
    )
    request_lines = _explain.find_request_lines(
        [line for line in parsed if line is not None], request
    )
    if not request_lines:
        print(f"no log line has the id {request}", file=sys.stderr)
        raise typer.Exit(ExitStatus.FAILED)
    print(_explain.format_lines(request_lines))


@app.command()
def plan(
    folder: Folder,
    *,
    store_url: StoreUrl,
    timeout_s: Timeout = DEFAULT_TIMEOUT_S,
) -> None:
    """Show what applying a folder would change."""
    proposed = _load_configuration(folder)

    async def read(
        store: client.StoreClient,
    ) -> result.Result[_apply.CurrentVersion, _apply.Failure]:
        return await _apply.read_current(store, timeout_s)

    current = _unwrap_or_exit(_run_with_store(store_url, read))
    changes = configuration.compare_configurations(current.declared, proposed)
    print(_reports.format_plan(current.ref.version, changes))


@app.command()
def apply(
    folder: Folder,
    *,
    store_url: StoreUrl,
    note: typing.Annotated[
        str, typer.Option("--note", help="Reason, shown in the history.")
    ] = "",
    author: typing.Annotated[
        str,
        typer.Option(
            "--author",
            envvar="MARJORAMLEDGE_AUTHOR",
            help="Author, shown in the history; by default the login name.",
        ),
    ] = "",
    expect_version: typing.Annotated[
        int,
        typer.Option(
            "--expect-version",
            min=-1,
            help="Fail unless this version is in force; -1 for any.",
        ),
    ] = -1,
    wait: typing.Annotated[
        bool,
        typer.Option(
            "--wait/--no-wait",
            help="Wait until every live node has the change in force.",
        ),
    ] = False,
    keys: Keys = "",
    peer_addresses: Peers = "",
    timeout_s: Timeout = DEFAULT_TIMEOUT_S,
) -> None:
    """Put the documents in a folder in force.

    Exit status 3 if another change was accepted first, 4 if it is unknown
    whether the store accepted the change, 5 if --wait timed out.
    """
    proposed = _load_configuration(folder)
    key_ring = _parse_keys(keys) if wait or keys else None
    # Read before the change: the store may fail right after accepting it.
    addresses = asyncio.run(_find_addresses(peer_addresses, store_url))
    change = _apply.Change(
        files=_documents.read_documents(folder),
        author=author or getpass.getuser(),
        note=note,
    )

    async def put(
        store: client.StoreClient,
    ) -> result.Result[configuration.Manifest, _apply.Failure]:
        read = await _apply.read_current(store, timeout_s)
        if isinstance(read, result.Failure):
            return read
        current = read.unwrap()
        changes = configuration.compare_configurations(
            current.declared, proposed
        )
        print(_reports.format_plan(current.ref.version, changes))
        if expect_version not in (-1, current.ref.version):
            return result.Failure(
                _apply.Failure(
                    error=_apply.ApplyError.CONFLICT,
                    details=(f"version {current.ref.version} is in force",),
                )
            )
        if not changes and current.manifest is not None:
            return result.Success(current.manifest)
        accepted = await _apply.write_change(store, current, change, timeout_s)
        return await _explain_conflict(store, current, accepted, timeout_s)

    manifest = _unwrap_or_exit(_run_with_store(store_url, put))
    print(f"Version {manifest.version} is accepted.")
    if key_ring is None:
        return
    wait_s = timeout_s if wait else 0.0
    outdated_nodes = asyncio.run(
        _push_to_nodes(manifest, key_ring, addresses, wait_s)
    )
    if not wait:
        return
    if outdated_nodes:
        lines = ["not in force on every live node:", *outdated_nodes]
        _exit_with_error(lines, ExitStatus.NOT_IN_FORCE)
    print(f"Version {manifest.version} is in force on every live node.")


@app.command()
def history(
    *,
    store_url: StoreUrl,
    count: typing.Annotated[
        int, typer.Option("--count", min=1, help="Number of versions.")
    ] = 20,
    timeout_s: Timeout = DEFAULT_TIMEOUT_S,
) -> None:
    """Show the accepted versions, newest first."""

    async def list_versions(
        store: client.StoreClient,
    ) -> result.Result[list[configuration.Manifest], _apply.Failure]:
        read = await _apply.read_current(store, timeout_s)
        if isinstance(read, result.Failure):
            return read
        manifest = read.unwrap().manifest
        found: list[configuration.Manifest] = []
        while manifest is not None and len(found) < count:
            found.append(manifest)
            if not manifest.parent:
                break
            parent = await _apply.read_manifest(
                store, manifest.parent, timeout_s
            )
            if isinstance(parent, result.Failure):
                return parent
            manifest = parent.unwrap()
        return result.Success(found)

    for manifest in _unwrap_or_exit(_run_with_store(store_url, list_versions)):
        print(_reports.format_manifest(manifest))


@app.command()
def status(
    *,
    keys: Keys,
    peer_addresses: Peers = "",
    store_url: StoreUrl = "",
    as_json: typing.Annotated[
        bool, typer.Option("--json", help="Print JSON.")
    ] = False,
) -> None:
    """Show the status of the fleet, as seen by one of its nodes."""
    key_ring = _parse_keys(keys)

    async def ask() -> result.Result[_fleet_client.NodeStatus, str]:
        fleet = _fleet_client.FleetClient(keys=key_ring)
        try:
            addresses = await _find_addresses(peer_addresses, store_url)
            return await fleet.read_any_status(addresses)
        finally:
            await fleet.close()

    answer = asyncio.run(ask())
    if isinstance(answer, result.Failure):
        _exit_with_error([answer.failure()], ExitStatus.FAILED)
    node_status = answer.unwrap()
    if as_json:
        print(_reports.format_status_json(node_status))
    else:
        print(_reports.format_status(node_status))


@app.command()
def drain(
    *,
    keys: Keys,
    zone: typing.Annotated[
        str, typer.Option("--zone", help="Apply to every node in this zone.")
    ] = "",
    node_id: typing.Annotated[
        str, typer.Option("--node", help="Apply to this node only.")
    ] = "",
    end: typing.Annotated[
        bool, typer.Option("--end", help="End the drain instead.")
    ] = False,
    peer_addresses: Peers = "",
    store_url: StoreUrl = "",
) -> None:
    """Stop sending new calls to the backend servers of some nodes.

    Needs no store if --peers is given.  A drain is not part of the
    configuration: it lasts until it is ended or the node restarts.
    """
    key_ring = _parse_keys(keys)
    if bool(zone) == bool(node_id):
        raise typer.BadParameter("give either --zone or --node")

    async def send_orders() -> tuple[list[str], list[str]]:
        fleet = _fleet_client.FleetClient(keys=key_ring)
        try:
            addresses = await _find_addresses(peer_addresses, store_url)
            return await _order_drains(
                fleet, addresses, zone, node_id, is_drained=not end
            )
        finally:
            await fleet.close()

    done, failed = asyncio.run(send_orders())
    for line in done:
        print(line)
    if failed or not done:
        _exit_with_error(
            failed or ["no such node is in the fleet"], ExitStatus.FAILED
        )


async def _order_drains(
    fleet: _fleet_client.FleetClient,
    addresses: collections.abc.Sequence[node.Address],
    zone: str,
    node_id: str,
    *,
    is_drained: bool,
) -> tuple[list[str], list[str]]:
    """Start or end drains; return lines on the successes and the failures."""
    status_result = await fleet.read_any_status(addresses)
    if isinstance(status_result, result.Failure):
        return [], [status_result.failure()]
    selected = [
        member
        for member in status_result.unwrap().present_members()
        if zone == member.zone or node_id == member.node_id
    ]
    outcomes = await asyncio.gather(
        *(
            fleet.order_drain(member.address, is_drained=is_drained)
            for member in selected
        )
    )
    state_text = "drained by order" if is_drained else "takes work again"
    done, failed = [], []
    for member, outcome in zip(selected, outcomes, strict=True):
        if isinstance(outcome, result.Success):
            done.append(f"{member.node_id}: {state_text}")
        else:
            failed.append(f"{member.node_id}: {outcome.failure()}")
    return done, failed


def _load_configuration(folder: pathlib.Path) -> configuration.Configuration:
    parsed = configuration.parse_documents(_documents.read_documents(folder))
    if isinstance(parsed, result.Failure):
        lines = [f"{folder}/{problem}" for problem in parsed.failure()]
        _exit_with_error(lines, ExitStatus.FAILED)
    return parsed.unwrap()


async def _explain_conflict(
    store: client.StoreClient,
    base: _apply.CurrentVersion,
    accepted: result.Result[configuration.Manifest, _apply.Failure],
    timeout_s: float,
) -> result.Result[configuration.Manifest, _apply.Failure]:
    """On a conflict, add details of the change that was accepted instead."""
    if isinstance(accepted, result.Success):
        return accepted
    failure = accepted.failure()
    if failure.error is not _apply.ApplyError.CONFLICT:
        return accepted
    read = await _apply.read_current(store, timeout_s)
    if isinstance(read, result.Failure):
        return accepted
    current = read.unwrap()
    if current.manifest is None or current.declared is None:
        return accepted
    changes = configuration.compare_configurations(
        base.declared, current.declared
    )
    details = (
        f"accepted instead: {_reports.format_manifest(current.manifest)}",
        _reports.format_plan(base.ref.version, changes),
    )
    return result.Failure(_apply.Failure(error=failure.error, details=details))


async def _push_to_nodes(
    manifest: configuration.Manifest,
    key_ring: peers.KeyRing,
    addresses: collections.abc.Sequence[node.Address],
    wait_s: float,
) -> tuple[str, ...]:
    """Send a version to a few nodes and wait until all have it in force.

    Returns
    -------
    tuple of str
        The nodes that don't have it in force after ``wait_s``.
    """
    fleet = _fleet_client.FleetClient(keys=key_ring)
    try:
        await fleet.push_manifest(manifest, addresses)
        if not wait_s:
            return ()
        return await fleet.wait_until_in_force(
            manifest.version, addresses, wait_s
        )
    finally:
        await fleet.close()


async def _find_addresses(
    text: str, store_url: str
) -> collections.abc.Sequence[node.Address]:
    if text:
        return [
            _parse_address(part.strip())
            for part in text.split(",")
            if part.strip()
        ]
    if not store_url:
        return []
    store = client.StoreClient(base_url=store_url)
    try:
        found = await store.list_members(MAX_SEED_NODES)
    finally:
        await store.close()
    return [member.address for member in found.value_or(())]


def _parse_address(text: str) -> node.Address:
    parsed = peers.parse_address(text)
    if isinstance(parsed, result.Failure):
        raise typer.BadParameter(parsed.failure(), param_hint="'--peers'")
    return parsed.unwrap()


def _parse_keys(text: str) -> peers.KeyRing:
    parsed = peers.parse_keys(text)
    if isinstance(parsed, result.Failure):
        raise typer.BadParameter(parsed.failure(), param_hint="'--keys'")
    return parsed.unwrap()


T = typing.TypeVar("T")
StoreOperation = collections.abc.Callable[
    [client.StoreClient],
    collections.abc.Coroutine[None, None, result.Result[T, _apply.Failure]],
]


def _run_with_store(
    store_url: str, operation: StoreOperation[T]
) -> result.Result[T, _apply.Failure]:
    async def run() -> result.Result[T, _apply.Failure]:
        store = client.StoreClient(base_url=store_url.rstrip("/"))
        try:
            return await operation(store)
        finally:
            await store.close()

    return asyncio.run(run())


_STATUS_BY_ERROR: typing.Final = {
    _apply.ApplyError.INVALID: ExitStatus.FAILED,
    _apply.ApplyError.CONFLICT: ExitStatus.CONFLICT,
    _apply.ApplyError.STORE: ExitStatus.FAILED,
    _apply.ApplyError.UNKNOWN: ExitStatus.UNKNOWN,
}


def _unwrap_or_exit(outcome: result.Result[T, _apply.Failure]) -> T:
    if isinstance(outcome, result.Failure):
        failure = outcome.failure()
        _exit_with_error(
            [failure.error.value, *failure.details],
            _STATUS_BY_ERROR[failure.error],
        )
    return outcome.unwrap()


def _exit_with_error(
    lines: collections.abc.Iterable[str], exit_status: ExitStatus
) -> typing.NoReturn:
    for line in lines:
        print(f"marjoramledge: {line}", file=sys.stderr)
    raise typer.Exit(int(exit_status))


def main() -> None:
    """Run the command; report a usage error as one line."""
    try:
        exit_status = app(standalone_mode=False)
    except typer.TyperException as error:
        print(f"marjoramledge: {error.format_message()}", file=sys.stderr)
        sys.exit(int(ExitStatus.USAGE))
    sys.exit(exit_status if isinstance(exit_status, int) else 0)
