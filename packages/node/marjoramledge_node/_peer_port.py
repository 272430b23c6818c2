"""HTTP port for peers and operators.

Only requests signed with a shared key are accepted.  A request with an attempt
id offers a call to the gate of this node.  A request without one is a document
request: it exchanges member lists, reads or uploads a configuration, reads the
status, or orders a drain.
"""

import asyncio
import collections.abc
import typing

from aiohttp import web
from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from returns import result

from marjoramledge_node import _auth
from marjoramledge_node import _bodies
from marjoramledge_node import _bounded_server
from marjoramledge_node import _connection_limits
from marjoramledge_node import _counts
from marjoramledge_node import _engine
from marjoramledge_node import _headers
from marjoramledge_node import _options
from marjoramledge_node import _refusals
from marjoramledge_node import _relay
from marjoramledge_node import _upstream

MEMBERS_TARGET: typing.Final = "/members"
STATUS_TARGET: typing.Final = "/status"
DRAIN_TARGET: typing.Final = "/drain"
MANIFEST_TARGET: typing.Final = "/manifests/"
DOCUMENT_TARGET: typing.Final = "/documents/"
# Maximum size of a member list (some thousands of members of about 80 bytes
# each) and of a configuration.
MAX_DOCUMENT_BYTES: typing.Final = configuration.MAX_MANIFEST_BYTES

DocumentRequestHandler = collections.abc.Callable[
    [str, str, bytes], collections.abc.Awaitable[bytes | None]
]


class PeerPort:
    """Handler of requests from peers.

    Parameters
    ----------
    engine
        The node's engine.
    upstream
        HTTP client for the backend server.
    keys
        Keys that authenticate peers.
    guard
        Replay guard, which detects offers received before.
    find_document
        Handles a request by its method, target and body; returns the body of
        the response, or None if the request is unknown or invalid.
    counts
        Counters that record the bytes of documents.
    workspace_header
        Header that tells the backend server the caller's workspace, if any.
    """

    def __init__(
        self,
        *,
        engine: _engine.Engine,
        upstream: _upstream.Upstream,
        keys: _auth.KeyRing,
        guard: node.ReplayGuard,
        handle_document_request: DocumentRequestHandler,
        counts: _counts.Counts,
        workspace_header: str | None = None,
    ) -> None:
        self._counts = counts
        self._workspace_header = workspace_header
        self._engine = engine
        self._upstream = upstream
        self._keys = keys
        self._guard = guard
        self._address = engine.state.membership.myself.address
        self._handle_document_request = handle_document_request
        self._rejected = 0

    @property
    def rejected(self) -> int:
        """Number of requests rejected as unsigned, replayed or too large."""
        return self._rejected

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request."""
        attempt = request.headers.get(_headers.ATTEMPT)
        if attempt is None:
            return await self._serve_document(request)
        response: web.StreamResponse
        if self._is_authentic_new_offer(request, attempt):
            response = await self._serve_offer(request, ids.AttemptId(attempt))
        else:
            response = self._reject()
        if not response.prepared:
            # Lets the entry detect a late response to another attempt.
            response.headers[_headers.ATTEMPT] = attempt
        return response

    async def _serve_document(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        body = b""
        if request.body_exists:
            if (request.content_length or 0) > MAX_DOCUMENT_BYTES:
                return self._reject()
            body = await request.content.read(MAX_DOCUMENT_BYTES)
            while not request.content.at_eof():
                body += await request.content.readany()
                if len(body) > MAX_DOCUMENT_BYTES:
                    return self._reject()
        if not self._is_authentic(request, "", body):
            return self._reject()
        document = await self._handle_document_request(
            request.method, request.raw_path, body
        )
        if document is None:
            return web.Response(status=404)
        self._counts.note_document(request.raw_path, len(document))
        return web.Response(body=document)

    def _is_authentic_new_offer(
        self, request: web.BaseRequest, attempt: str
    ) -> bool:
        stamp = _auth.parse_stamp(request.headers.get(_headers.STAMP))
        if stamp is None:
            return False
        content = _auth.signed_request_content(
            request.method,
            request.raw_path,
            _auth.signed_offer_subject(
                attempt,
                request.headers.get(_headers.KIND, ""),
                request.headers.get(_headers.SERVER),
            ),
            b"",
        )
        signed = _auth.signed_message_content(stamp, self._address, content)
        return self._keys.verify_header(
            request.headers.get(_headers.AUTH), signed
        ) and self._guard.accept(stamp.run, stamp.number)

    def _is_authentic(
        self, request: web.BaseRequest, subject: str, body: bytes
    ) -> bool:
        content = _auth.signed_request_content(
            request.method, request.raw_path, subject, body
        )
        return self._keys.verify_header(
            request.headers.get(_headers.AUTH), content
        )

    def _reject(self) -> web.Response:
        self._rejected += 1
        response = _refusals.build_refusal(
            node.Reason.NOT_A_MEMBER, node.RunState.NOT_RUN
        )
        response.force_close()
        return response

    async def _serve_offer(
        self, request: web.BaseRequest, attempt: ids.AttemptId
    ) -> web.StreamResponse:
        mailbox = self._engine.open_mailbox(attempt)
        kind = _headers.parse_kind(request.headers.get(_headers.KIND))
        try:
            self._engine.submit(
                node.WorkOffered(
                    attempt=attempt,
                    host=request.headers.get("Host", ""),
                    method=request.method,
                    path=request.raw_path.partition("?")[0],
                    deadline_s=_read_deadline_s(request),
                    prefers_queueing=_headers.PATIENT in request.headers,
                    fingerprint=ids.Fingerprint(
                        request.headers.get(_headers.FINGERPRINT, "")
                    ),
                    service=ids.NO_SERVICE if kind is None else kind.service,
                    kind=kind,
                    target_s=_headers.parse_target(
                        request.headers.get(_headers.TARGET)
                    ),
                    config=self._read_config(request),
                    status=_headers.parse_status(
                        request.headers.get(_headers.SERVER)
                    ),
                )
            )
            command = await mailbox.get()
        except asyncio.CancelledError:
            self._engine.submit(node.WorkAbandoned(attempt=attempt))
            for command in mailbox.pop_all():
                if isinstance(command, node.StartWork):
                    self._report_work_ended(
                        attempt, node.ServerOutcome.CANCELLED
                    )
            raise
        finally:
            self._engine.close_mailbox(attempt)
        if isinstance(command, node.StartWork):
            return await self._run(request, command)
        if not isinstance(command, node.RefuseWork):
            raise AssertionError(f"unexpected command {command}")
        return self._refuse(
            request,
            command.reason,
            node.RunState.NOT_RUN,
            status=command.status,
        )

    async def _run(
        self, request: web.BaseRequest, command: node.StartWork
    ) -> web.StreamResponse:
        outcome = node.ServerOutcome.CANCELLED
        received: _upstream.Answer | _upstream.AttemptFailure | None = None
        try:
            send_result = await self._send_before_deadline(request, command)
            if send_result is None:
                return self._refuse(
                    request,
                    node.Reason.DEADLINE_PASSED,
                    node.RunState.MAY_HAVE_RUN,
                )
            signalled = _upstream.build_signalled(command.server, send_result)
            if signalled is not None:
                self._engine.submit(signalled)
            if isinstance(send_result, result.Failure):
                attempt_failure = send_result.failure()
                received = attempt_failure
                outcome = attempt_failure.outcome
                return self._refuse(
                    request, attempt_failure.reason, attempt_failure.run
                )
            received = answer = send_result.unwrap()
            response, outcome = await self._relay_answer(
                request, answer, command
            )
            return response
        except TimeoutError:
            return self._refuse(
                request, node.Reason.BODY_STALLED, node.RunState.NOT_RUN
            )
        finally:
            self._report_work_ended(command.attempt, outcome, received)

    async def _send_before_deadline(
        self, request: web.BaseRequest, command: node.StartWork
    ) -> _upstream.SendResult | None:
        """Forward a request; return None if its deadline passes first.

        The entry cancels the request at its deadline, but may be disconnected
        from this node.
        """
        remaining_s = max(0.0, command.deadline_at - self._engine.now())
        limit_s = remaining_s + _relay.ANSWER_GRACE_S
        deadline_timeout = asyncio.timeout(limit_s)
        try:
            async with deadline_timeout:
                return await self._send(request, command)
        except TimeoutError:
            if not deadline_timeout.expired():
                raise
            return None

    async def _send(
        self, request: web.BaseRequest, command: node.StartWork
    ) -> _upstream.SendResult:
        headers = _headers.copy_end_to_end(request.headers)
        headers[_headers.CALL] = request.headers.get(_headers.CALL, "")
        _headers.set_workspace(
            headers, self._workspace_header, self._read_workspace(request)
        )
        outgoing = _upstream.OutgoingRequest(
            method=request.method,
            target=request.raw_path,
            headers=headers,
            body=await _bodies.receive_body(request),
            is_repeatable=command.is_repeatable,
        )
        return await self._upstream.send_to_server(
            outgoing,
            command.server,
            command.deadline_at - self._engine.now(),
        )

    async def _relay_answer(
        self,
        request: web.BaseRequest,
        answer: _upstream.Answer,
        command: node.StartWork,
    ) -> tuple[web.StreamResponse, node.ServerOutcome]:
        now = self._engine.now()
        response, outcome = await _relay.relay(
            request,
            answer,
            {
                _headers.ATTEMPT: str(command.attempt),
                _headers.LOAD: _headers.format_load(
                    self._engine.state.gate.report(now)
                ),
                **self._build_report(request),
            },
            closes_connection=False,
            remaining_s=command.deadline_at - now,
        )
        if response is not None:
            return response, outcome
        reason = node.Reason.ANSWER_CUT_SHORT
        if outcome is node.ServerOutcome.CANCELLED:
            reason = node.Reason.DEADLINE_PASSED
        refusal = self._refuse(request, reason, node.RunState.MAY_HAVE_RUN)
        return refusal, outcome

    def _read_workspace(self, request: web.BaseRequest) -> str | None:
        """Return the caller's workspace as the entry has determined it.

        An entry whose configuration lists no workspaces yet names none.  It
        has not removed what the caller sent in their headers.
        """
        declared = self._engine.state.versions.configuration
        has_workspaces = declared is not None and bool(declared.workspaces)
        return request.headers.get(
            _headers.WORKSPACE, "" if has_workspaces else None
        )

    def _refuse(
        self,
        request: web.BaseRequest,
        reason: node.Reason,
        run: node.RunState,
        *,
        status: node.ServerStatus | None = None,
    ) -> web.Response:
        response = _refusals.build_refusal(
            reason,
            run,
            load=self._engine.state.gate.report(self._engine.now()),
        )
        response.headers.update(self._build_report(request, status))
        if request.body_exists and not request.content.at_eof():
            response.force_close()
        return response

    def _read_config(
        self, request: web.BaseRequest
    ) -> configuration.VersionRef | None:
        """Return the configuration version that the entry node has."""
        known = _headers.parse_config(
            request.headers.get(_headers.CONFIG), self._engine.now()
        )
        return None if known is None else known.ref

    def _build_report(
        self,
        request: web.BaseRequest,
        status: node.ServerStatus | None = None,
    ) -> dict[str, str]:
        """Build the headers with what the entry node may not know yet.

        They name this node's configuration version if it is newer, and what
        the backend server has said of itself: ``status``, or the current one.
        They are signed, since the entry acts on them in later calls too.
        """
        headers = {}
        state = self._engine.state
        ref = self._read_config(request)
        if ref is not None and state.versions.is_newer_than(ref):
            headers[_headers.CONFIG] = _headers.format_config(
                state.versions.in_force, self._engine.now()
            )
        status = status or node.build_status(state)
        if status is not None:
            headers[_headers.SERVER] = _headers.format_status(status)
        if headers:
            content = _auth.signed_report_content(
                request.headers.get(_headers.ATTEMPT, ""),
                headers.get(_headers.CONFIG),
                headers.get(_headers.SERVER),
            )
            headers[_headers.AUTH] = self._keys.sign_header(content)
        return headers

    def _report_work_ended(
        self,
        attempt: ids.AttemptId,
        outcome: node.ServerOutcome,
        response: _upstream.Answer | _upstream.AttemptFailure | None = None,
    ) -> None:
        self._engine.submit(
            _upstream.build_work_ended(attempt, outcome, response)
        )


def manifest_target(digest: ids.Digest) -> str:
    """Return the request target at which peers serve a configuration."""
    return f"{MANIFEST_TARGET}{digest}"


def document_target(digest: ids.Digest) -> str:
    """Return the target at which peers serve one with its history."""
    return f"{DOCUMENT_TARGET}{digest}"


def sign_request(
    keys: _auth.KeyRing, method: str, target: str, body: bytes
) -> dict[str, str]:
    """Build the headers that authenticate a request for a document."""
    content = _auth.signed_request_content(method, target, "", body)
    return {_headers.AUTH: keys.sign_header(content)}


def _read_deadline_s(request: web.BaseRequest) -> float:
    text = request.headers.get(_headers.DEADLINE, "")
    return int(text) / 1000 if text.isdecimal() else 0.0


def make_server(
    port: PeerPort,
    table: _connection_limits.ConnectionTable | None = None,
) -> web.Server:
    """Create the HTTP server of the peer port."""
    return _bounded_server.Server(
        port.serve,
        table=table,
        head_factor=2,
        handler_cancellation=True,
        access_log=None,
        auto_decompress=False,
        # The entry adds its own headers to the caller's.
        max_headers=2 * _options.MAX_HEAD_FIELDS,
        max_line_size=2 * _options.MAX_HEAD_LINE_BYTES,
        max_field_size=2 * _options.MAX_HEAD_LINE_BYTES,
    )
