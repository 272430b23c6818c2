"""HTTP port for callers: receives requests and delivers responses.

One task serves one request.  It reads the head, and the body if that is
small, submits the call to the engine, and then executes the commands in its
mailbox: send to the local backend server, send to a peer, deliver a response,
or refuse the call.
"""

import asyncio
import collections
import functools
import hashlib
import itertools
import math

from aiohttp import web
from marjoramledge_core import ids
from marjoramledge_core import node
from returns import result

from marjoramledge_node import _auth
from marjoramledge_node import _bodies
from marjoramledge_node import _bounded_server
from marjoramledge_node import _cancellation
from marjoramledge_node import _connection_limits
from marjoramledge_node import _counts
from marjoramledge_node import _dialect
from marjoramledge_node import _engine
from marjoramledge_node import _headers
from marjoramledge_node import _mailbox
from marjoramledge_node import _options
from marjoramledge_node import _refusals
from marjoramledge_node import _relay
from marjoramledge_node import _upstream


class _Exchange:
    """State of a caller's request until its response has been delivered."""

    def __init__(
        self,
        *,
        request: web.BaseRequest,
        call: ids.CallId,
        target: str,
        mailbox: _mailbox.Mailbox,
        body: _bodies.Body,
    ) -> None:
        self.request = request
        self.call = call
        self.target = target
        self.mailbox = mailbox
        self.body = body
        self.fingerprint = compute_fingerprint(request, body)
        self.answers: dict[ids.AttemptId, _upstream.Answer] = {}
        self.local_attempts: set[ids.AttemptId] = set()
        self.hedge: asyncio.Task[None] | None = None

    @property
    def is_body_consumed(self) -> bool:
        """Whether the body can't be sent again."""
        stream = self.body.stream
        return stream is not None and stream.is_started


class CallerPort:
    """Handler of requests from callers.

    Parameters
    ----------
    engine
        The node's engine.
    upstream
        HTTP client for the backend server and peers.
    keys
        Keys that sign requests to peers.
    stamper
        Numbers requests to peers.
    call_prefix
        Prefix of the ids of this node's calls, unique per start of the node.
    dialect
        Header conventions of callers and backend servers.
    caller_service
        Service of this VM, to which the callers belong.
    counts
        Counters that record responses.
    """

    def __init__(
        self,
        *,
        engine: _engine.Engine,
        upstream: _upstream.Upstream,
        keys: _auth.KeyRing,
        stamper: _auth.Stamper,
        call_prefix: str,
        dialect: _dialect.Dialect,
        caller_service: str,
        counts: _counts.Counts,
    ) -> None:
        self._counts = counts
        self._dialect = dialect
        self._caller_service = caller_service
        self._engine = engine
        self._upstream = upstream
        self._keys = keys
        self._stamper = stamper
        self._call_prefix = call_prefix
        self._call_numbers = itertools.count()
        self._active_requests: collections.Counter[object] = (
            collections.Counter()
        )

    def is_busy(self, connection: object) -> bool:
        """Return whether a request on a connection is being served."""
        return self._active_requests[connection] > 0

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request."""
        connection = request.protocol
        self._active_requests[connection] += 1
        began_at = self._engine.now()
        try:
            response, kind = await self._serve(request)
            self._counts.note_answer(
                kind, response.status, self._engine.now() - began_at
            )
            return response
        finally:
            self._active_requests[connection] -= 1
            if not self._active_requests[connection]:
                del self._active_requests[connection]

    async def _serve(
        self, request: web.BaseRequest
    ) -> tuple[web.StreamResponse, ids.KindName | None]:
        """Serve a request; return its response, and its kind if known."""
        head = _check_head(request, self._dialect.deadline)
        if isinstance(head, result.Failure):
            refusal = _refusals.build_refusal(
                head.failure(), node.RunState.NOT_RUN
            )
            return refusal, None
        deadline_s = head.unwrap()
        try:
            body = await _bodies.receive_body(request)
        except TimeoutError:
            refusal = _refusals.build_refusal(
                node.Reason.BODY_STALLED, node.RunState.NOT_RUN
            )
            return refusal, None
        call = ids.CallId(f"{self._call_prefix}{next(self._call_numbers):x}")
        exchange = _Exchange(
            request=request,
            call=call,
            target=request.raw_path,
            mailbox=self._engine.open_mailbox(call),
            body=body,
        )
        exchange.mailbox.on_hedge = functools.partial(
            self._start_hedge, exchange
        )
        self._engine.submit(
            node.CallArrived(
                call=call,
                host=request.headers["Host"],
                method=request.method,
                path=exchange.target.partition("?")[0],
                deadline_s=deadline_s,
                is_body_buffered=body.is_resendable,
                fingerprint=exchange.fingerprint,
                request=self._read_request_id(request),
                credentials=tuple(
                    request.headers.getall(_headers.AUTHORIZATION, ())
                ),
            )
        )
        try:
            response, kind = await self._execute_commands(exchange)
        except asyncio.CancelledError:
            self._engine.submit(node.CallerDisconnected(call=call))
            raise
        finally:
            self._clean_up(exchange)
        if self._is_stopping():
            response.force_close()
        return response, kind

    def _read_request_id(self, request: web.BaseRequest) -> str:
        name = self._dialect.request_id
        return "" if name is None else request.headers.get(name, "")

    def _build_outgoing(
        self,
        exchange: _Exchange,
        workspace: ids.WorkspaceName | None,
        *,
        is_repeatable: bool,
    ) -> _upstream.OutgoingRequest:
        """Build the request to forward, with the node's own headers."""
        headers = _headers.copy_end_to_end(exchange.request.headers)
        _headers.set_workspace(headers, self._dialect.workspace, workspace)
        headers[_headers.CALL] = exchange.call
        if self._dialect.caller_service is not None:
            headers[self._dialect.caller_service] = self._caller_service
        return _upstream.OutgoingRequest(
            method=exchange.request.method,
            target=exchange.target,
            headers=headers,
            body=exchange.body,
            is_repeatable=is_repeatable,
        )

    def _start_hedge(
        self, exchange: _Exchange, command: node.SendToPeer
    ) -> None:
        """Start a hedge: a second attempt parallel to the current one."""
        exchange.hedge = asyncio.create_task(
            self._send_to_peer(exchange, command)
        )

    async def _execute_commands(
        self, exchange: _Exchange
    ) -> tuple[web.StreamResponse, ids.KindName | None]:
        while True:
            command = await exchange.mailbox.get()
            match command:
                case node.RunOnServer():
                    await self._run_on_server(exchange, command)
                case node.SendToPeer():
                    await self._send_to_peer(exchange, command)
                case node.DeliverAnswer():
                    response = await self._deliver(exchange, command)
                    if response is not None:
                        return response, command.kind
                case node.RefuseCall():
                    return self._refuse_call(exchange, command), command.kind
                case _:
                    raise AssertionError(f"unexpected command {command}")

    async def _run_on_server(
        self, exchange: _Exchange, command: node.RunOnServer
    ) -> None:
        attempt = command.attempt
        exchange.local_attempts.add(attempt)
        try:
            outcome = await _cancellation.run_cancellable(
                self._engine,
                attempt,
                self._upstream.send_to_server(
                    self._build_outgoing(
                        exchange,
                        command.workspace,
                        is_repeatable=command.is_repeatable,
                    ),
                    command.server,
                    command.deadline_at - self._engine.now(),
                ),
            )
        except asyncio.CancelledError:
            self._report_work_ended(
                exchange, attempt, node.ServerOutcome.CANCELLED
            )
            raise
        if outcome is None:
            self._report_work_ended(
                exchange, attempt, node.ServerOutcome.CANCELLED
            )
            return
        signalled = _upstream.build_signalled(command.server, outcome)
        if signalled is not None:
            self._engine.submit(signalled)
        if isinstance(outcome, result.Failure):
            attempt_failure = outcome.failure()
            self._report_work_ended(
                exchange, attempt, attempt_failure.outcome, attempt_failure
            )
            self._fail_attempt(exchange, attempt, attempt_failure)
        else:
            self._answer_attempt(exchange, attempt, outcome.unwrap())

    async def _send_to_peer(
        self, exchange: _Exchange, command: node.SendToPeer
    ) -> None:
        attempt = command.attempt
        stamp = self._stamper.stamp()
        kind = _headers.format_kind(command.service, command.kind)
        status = None
        if command.status is not None:
            status = _headers.format_status(command.status)
        signed = _auth.signed_message_content(
            stamp,
            command.address,
            _auth.signed_request_content(
                exchange.request.method,
                exchange.target,
                _auth.signed_offer_subject(attempt, kind, status),
                b"",
            ),
        )
        outgoing = self._build_outgoing(
            exchange, command.workspace, is_repeatable=True
        )
        if command.workspace is not None:
            outgoing.headers[_headers.WORKSPACE] = command.workspace
        outgoing.headers.update(
            {
                _headers.ATTEMPT: attempt,
                _headers.STAMP: str(stamp),
                _headers.FINGERPRINT: exchange.fingerprint,
                _headers.KIND: kind,
                _headers.CONFIG: _headers.format_config(
                    self._engine.state.versions.in_force, self._engine.now()
                ),
                _headers.AUTH: self._keys.sign_header(signed),
            }
        )
        if command.target_at < math.inf:
            outgoing.headers[_headers.TARGET] = _headers.format_target(
                command.target_at - self._engine.now()
            )
        if status is not None:
            outgoing.headers[_headers.SERVER] = status
        if command.prefers_queueing:
            outgoing.headers[_headers.PATIENT] = "1"
        outcome = await _cancellation.run_cancellable(
            self._engine,
            attempt,
            self._upstream.send_to_peer(
                outgoing,
                command.address,
                command.deadline_at - self._engine.now(),
            ),
        )
        if outcome is None:
            return
        if isinstance(outcome, result.Failure):
            self._fail_attempt(exchange, attempt, outcome.failure())
        else:
            self._answer_attempt(exchange, attempt, outcome.unwrap())

    def _answer_attempt(
        self,
        exchange: _Exchange,
        attempt: ids.AttemptId,
        answer: _upstream.Answer,
    ) -> None:
        exchange.answers[attempt] = answer
        self._engine.register_canceller(
            attempt, lambda: self._discard_answer(exchange, attempt)
        )
        self._engine.submit(
            node.AttemptAnswered(
                call=exchange.call,
                attempt=attempt,
                is_error=answer.outcome is node.ServerOutcome.ERRORED,
                load=answer.load,
                config=answer.config,
                status=answer.status,
            )
        )

    def _fail_attempt(
        self,
        exchange: _Exchange,
        attempt: ids.AttemptId,
        attempt_failure: _upstream.AttemptFailure,
    ) -> None:
        self._engine.submit(
            node.AttemptFailed(
                call=exchange.call,
                attempt=attempt,
                run=attempt_failure.run,
                reason=attempt_failure.reason,
                load=attempt_failure.load,
                is_body_consumed=exchange.is_body_consumed,
                config=attempt_failure.config,
                status=attempt_failure.status,
            )
        )

    async def _deliver(
        self, exchange: _Exchange, command: node.DeliverAnswer
    ) -> web.StreamResponse | None:
        answer = exchange.answers.pop(command.attempt)
        self._engine.remove_canceller(command.attempt)
        outcome = node.ServerOutcome.CANCELLED
        response = None
        try:
            response, outcome = await _relay.relay(
                exchange.request,
                answer,
                {_headers.CALL: exchange.call},
                closes_connection=self._is_stopping(),
                remaining_s=command.deadline_at - self._engine.now(),
            )
        finally:
            self._report_work_ended(exchange, command.attempt, outcome, answer)
        if response is None:
            self._engine.submit(
                node.AnswerLost(call=exchange.call, attempt=command.attempt)
            )
        return response

    def _discard_answer(
        self, exchange: _Exchange, attempt: ids.AttemptId
    ) -> None:
        answer = exchange.answers.pop(attempt, None)
        if answer is not None:
            answer.response.close()
            outcome = node.ServerOutcome.CANCELLED
            if answer.outcome is node.ServerOutcome.ERRORED:
                # Discarded in favour of another response, but an error still
                # counts for the state of the server.
                outcome = answer.outcome
            asyncio.get_running_loop().call_soon(
                self._report_work_ended, exchange, attempt, outcome, answer
            )

    def _report_work_ended(
        self,
        exchange: _Exchange,
        attempt: ids.AttemptId,
        outcome: node.ServerOutcome,
        response: _upstream.Answer | _upstream.AttemptFailure | None = None,
    ) -> None:
        if attempt not in exchange.local_attempts:
            return
        exchange.local_attempts.discard(attempt)
        self._engine.submit(
            _upstream.build_work_ended(attempt, outcome, response)
        )

    def _clean_up(self, exchange: _Exchange) -> None:
        if exchange.hedge is not None:
            exchange.hedge.cancel()
        self._engine.submit(node.CallEnded(call=exchange.call))
        for attempt in exchange.local_attempts - exchange.answers.keys():
            self._report_work_ended(
                exchange, attempt, node.ServerOutcome.CANCELLED
            )
        for attempt in list(exchange.answers):
            self._discard_answer(exchange, attempt)
        for command in exchange.mailbox.pop_all():
            if isinstance(command, node.RunOnServer):
                exchange.local_attempts.add(command.attempt)
                self._report_work_ended(
                    exchange, command.attempt, node.ServerOutcome.CANCELLED
                )
        self._engine.close_mailbox(exchange.call)

    def _refuse_call(
        self, exchange: _Exchange, command: node.RefuseCall
    ) -> web.Response:
        retry_after = None
        if command.retry_after_s is not None:
            retry_after = self._dialect.format_retry_after(
                command.retry_after_s
            )
        response = _refusals.build_refusal(
            command.reason,
            command.run,
            retry_after=retry_after,
            map_status=self._dialect.map_status,
        )
        response.headers[_headers.CALL] = exchange.call
        name = self._dialect.request_id
        if name is not None and name in exchange.request.headers:
            response.headers[name] = exchange.request.headers[name]
        if exchange.body.stream is not None:
            # The rest of the request body is not read.
            response.force_close()
        return response

    def _is_stopping(self) -> bool:
        return self._engine.state.stop_phase is not node.StopPhase.RUNNING


def compute_fingerprint(
    request: web.BaseRequest, body: _bodies.Body
) -> ids.Fingerprint:
    """Compute a hash that is equal for equal requests on all nodes.

    For a streamed body, it covers the announced length and, if as much was
    received at once, the longest beginning that could have been buffered.
    """
    digest = hashlib.blake2b(digest_size=8)
    length = request.headers.get("Content-Length", "")
    content = body.buffered or b""
    if body.buffered is not None:
        # The same body may come with a length or in chunks.
        length = str(len(content))
    elif body.stream is not None:
        beginning = body.stream.prefix[: _bodies.MAX_BUFFERED_BODY_BYTES]
        if len(beginning) == _bodies.MAX_BUFFERED_BODY_BYTES:
            content = beginning
    parts = (request.method, request.headers["Host"], request.raw_path, length)
    digest.update("\n".join(parts).encode("utf-8", "surrogateescape"))
    digest.update(content)
    return ids.Fingerprint(digest.hexdigest())


def _check_head(
    request: web.BaseRequest, deadline: str
) -> result.Result[float | None, node.Reason]:
    """Validate a request head; return the caller's deadline in seconds.

    Checks only what the HTTP parser doesn't.  ``deadline`` is the name of the
    header with the deadline in milliseconds.
    """
    bad = result.Failure(node.Reason.BAD_REQUEST)
    if len(request.headers.getall("Host", ())) != 1:
        return bad
    if not request.raw_path.startswith("/") or request.method == "CONNECT":
        return bad
    text = request.headers.get(deadline)
    if text is None:
        return result.Success(None)
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        return bad
    return result.Success(int(text) / 1000)


def make_server(
    port: CallerPort,
    table: _connection_limits.ConnectionTable | None = None,
) -> web.Server:
    """Create the HTTP server of the caller port."""
    return _bounded_server.Server(
        port.serve,
        table=table,
        limits_bodies=True,
        handler_cancellation=True,
        access_log=None,
        auto_decompress=False,
        max_headers=_options.MAX_HEAD_FIELDS,
        max_line_size=_options.MAX_HEAD_LINE_BYTES,
        max_field_size=_options.MAX_HEAD_LINE_BYTES,
    )


def close_idle_connections(
    server: web.Server, port: CallerPort, *, keeps_unused: bool
) -> None:
    """Close idle connections at once, and busy ones after their response.

    Without the forced close, an idle connection would still accept a request
    and never respond to it.  ``keeps_unused`` exempts connections without any
    request so far, because their first one is probably in transit.
    """
    for connection in server.connections:
        # A request is served a few loop iterations after it has been read;
        # aiohttp has no public attribute for "waiting for a request".
        waiter = connection._waiter
        is_waiting = waiter is not None and not waiter.done()
        if port.is_busy(connection) or not is_waiting:
            connection.close()
        elif connection._request_count or not keeps_unused:
            connection.force_close()
