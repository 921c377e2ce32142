"""Writes one structured log line per decision on a request and per state change of the node.

Lines about successful requests are rate-limited. Lines about failures have a separate, larger
limit, and state changes are always written. Suppressed lines are counted, and the next written
line contains their number.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

import eliot

from liftrill import clock, constants
from liftrill.coordination.token_bucket import TokenBucket
from liftrill.gateway import delivery_events as events
from liftrill.gateway.delivery import DeliveryMachine
from liftrill.gateway.delivery_times import AttemptTimes
from liftrill.gateway.engines.engine_condition import EngineSignal
from liftrill.gateway.opaque_request import OpaqueRequest
from liftrill.gateway.run_continuation import CloseEvidence
from liftrill.guarded_connection import ResponseFault

MESSAGE_PREFIX = "liftrill:"
# Callers choose the ids that they name.
MAX_LOGGED_ID_LENGTH = 40
# Bounds of the part ids in one line, about 800 bytes.
MAX_LOGGED_PARTS = 40
MAX_LOGGED_PART_ID_LENGTH = 16


def rounded_age(age_s: float) -> float | None:
    """Return an age rounded for the log, or None for an infinite age."""
    return round(age_s, 3) if math.isfinite(age_s) else None


def _bucket(lines_per_second: float) -> TokenBucket:
    return TokenBucket(lines_per_second, 2.0 * lines_per_second)


@dataclass(slots=True)
class DecisionLog:
    """Writes the log lines of one process.

    Attributes:
        node: name of this node, a field of each line.
        version: the configuration version in force, a field of each line about a request.
    """

    node: str
    version: int = 0
    _ordinary: TokenBucket = field(
        default_factory=lambda: _bucket(constants.LOG_ORDINARY_LINES_PER_SECOND)
    )
    _failures: TokenBucket = field(
        default_factory=lambda: _bucket(constants.LOG_FAILURE_LINES_PER_SECOND)
    )
    _suppressed: int = 0

    def state_changed(self, kind: str, **inputs: object) -> None:
        """Log a state change of this process, with the inputs that caused it."""
        eliot.log_message(message_type=MESSAGE_PREFIX + kind, node=self.node, **inputs)

    def request_refused(self, request_id: str, code: str, **inputs: object) -> None:
        """Log that a request was refused when it was read."""
        self._write_failure("refused", request=request_id, code=code, **inputs)

    def attempt_started(self, machine: DeliveryMachine, start: events.StartAttempt) -> None:
        """Log the engine of a retry; a first attempt is logged only when its request ends."""
        if len(machine.attempts) == 1:
            return
        choice = start.choice
        self._write_failure(
            "retried",
            request=machine.request.request_id,
            engine=choice.engine_id,
            proxy=_proxy_id(choice),
            attempt=len(machine.attempts),
            resume_after=start.resume_after,
            software_version=choice.software_version,
            previous_version=machine.attempts[-2].software_version,
        )

    def attempt_event(
        self, machine: DeliveryMachine, event: events.DeliveryEvent, times: AttemptTimes
    ) -> None:
        """Log that an attempt was refused or lost."""
        inputs: dict[str, object] = {}
        if isinstance(event, events.AttemptRefused):
            outcome = event.kind.value
        elif isinstance(event, events.AttemptInterrupted):
            outcome = f"broken: {event.reason}"
            inputs = _lost_attempt_fields(machine, times)
        elif isinstance(event, events.AttemptUnconfirmed):
            outcome = f"unconfirmed: {event.reply}"
        else:
            return
        choice = machine.attempts[-1]
        self._write_failure(
            "attempt_failed",
            request=machine.request.request_id,
            engine=choice.engine_id,
            proxy=_proxy_id(choice),
            weights=choice.weight_version,
            outcome=outcome,
            **inputs,
        )

    def stream_interrupted(
        self, machine: DeliveryMachine, evidence: events.EngineEvidence, waited_s: float
    ) -> None:
        """Log what is known of the engine of a stream that may go on elsewhere."""
        self._write_failure(
            "stream_interrupted",
            request=machine.request.request_id,
            engine=machine.attempts[-1].engine_id,
            weights=machine.attempts[-1].weight_version,
            evidence=evidence.value,
            waited_ms=round(1000 * waited_s),
        )

    def response_closed(
        self,
        machine: DeliveryMachine,
        times: events.CloseTimes,
        evidence: CloseEvidence,
        waited_s: float,
        is_complete: bool,
    ) -> None:
        """Log whether a response is complete that ended with its connection, and why."""
        inputs = {
            "request": machine.request.request_id,
            "engine": machine.attempts[-1].engine_id,
            "framing": machine.times.framing,
            "evidence": evidence.engine.value,
            "leaving": evidence.is_leaving,
            "others_ended": evidence.others_ended,
            "peers_answered": evidence.peers_answered,
            "reply": evidence.reply.value,
            "last_event": machine.order.last_id,
            "close_delay_ms": round(1000 * evidence.close_delay_s, 1),
            "unread_ms": round(1000 * times.unread_s, 1),
            "abrupt": evidence.is_abrupt,
            "doubted": evidence.is_doubted,
            "waited_ms": round(1000 * waited_s, 1),
            "complete": is_complete,
        }
        bucket = self._ordinary if is_complete else self._failures
        self._write("response_closed", bucket, inputs)

    def response_fault(self, fault: ResponseFault) -> None:
        """Log that a response was malformed, or that more bytes followed it."""
        after_end_s = fault.after_end_s
        self._write_failure(
            "response_fault",
            address=fault.address,
            reason=fault.reason,
            after_end_ms=None if after_end_s is None else round(1000 * after_end_s, 1),
        )

    def connection_replaced(self, address: str, request_id: str) -> None:
        """Log that a connection was closed, as a request that it has carried is sent again."""
        inputs = {"address": address, "request": request_id}
        self._write("connection_replaced", self._ordinary, inputs)

    def store_era_refused(self, era: int | None, raw_era: str) -> None:
        """Log that an answer of the store has an earlier era than the known one, or none."""
        self._write_failure("store_era_refused", era=era, told=raw_era[:20])

    def engine_backoff_requested(self, signal: EngineSignal) -> None:
        """Log that an engine asked this node to back off."""
        self._write_failure(
            "engine_rests",
            engine=signal.engine.engine_id,
            address=signal.engine.address,
            source=signal.source,
            status=signal.status,
            rest_s=signal.backoff_s,
        )

    def permit_refused(
        self, request_id: str, engine: events.EngineAddress, issuer: str, wait_s: float
    ) -> None:
        """Log that a request is not sent to an engine because the engine's limit is used up."""
        self._write_failure(
            "permit_refused",
            request=request_id,
            engine=engine.engine_id,
            issuer=issuer,
            wait_s=round(wait_s, 3),
        )

    def permit_unanswered(self, engine: events.EngineAddress, issuer: str) -> None:
        """Log that the node that issues an engine's permits did not answer in time."""
        self._write_failure("permit_unanswered", engine=engine.engine_id, issuer=issuer)

    def engine_limit_reported(self, signal: EngineSignal) -> None:
        """Log that an answer of an engine states a rate limit."""
        self._write_failure(
            "engine_limit_named",
            engine=signal.engine.engine_id,
            address=signal.engine.address,
            source=signal.source,
            status=signal.status,
            limit_per_s=signal.limit_per_s,
        )

    def proxied_request_failed(self, engine_id: str, peer: str, outcome: str) -> None:
        """Log that a peer's request was not sent to an engine, or its response was lost."""
        self._write_failure("proxied_failed", engine=engine_id, peer=peer, outcome=outcome)

    def request_abandoned(self, machine: DeliveryMachine) -> None:
        """Log that the caller closed the connection."""
        self._write_request("caller_gone", machine, ordinary=True)

    def stream_resumed(
        self,
        request: OpaqueRequest,
        version: str,
        source: str,
        answered: str,
        asked_s: float,
        known_versions: list[str],
        uptime_s: float,
        copy_age_s: float,
    ) -> None:
        """Log which software version began the stream that a request resumes.

        The uptime tells how far back this node can know which versions served, the age of its copy
        of the store since when it may not know them.
        """
        self._write_failure(
            "stream_resumed",
            request=request.request_id,
            resumes=request.resumed_request_id[:MAX_LOGGED_ID_LENGTH],
            parts=_shared_part_ids(request),
            software_version=version,
            source=source,
            answered=answered,
            asked_ms=round(1000 * asked_s, 1),
            known_versions=known_versions,
            uptime_s=round(uptime_s, 1),
            copy_age_s=rounded_age(copy_age_s),
        )

    def request_crashed(self, machine: DeliveryMachine, error: Exception) -> None:
        """Log that a request ended in an unexpected exception."""
        self._write_request("crashed", machine, False, code="INTERNAL_ERROR", why=repr(error))

    def not_queued(self, request: OpaqueRequest, ahead_s: float, left_s: float) -> None:
        """Log that a request is refused at once because its wait in the queue would be too long."""
        self._write_failure(
            "not_queued",
            request=request.request_id,
            tenant=request.tenant,
            urgency=request.priority,
            ahead_ms=round(1000 * ahead_s),
            could_wait_ms=round(1000 * left_s),
        )

    def request_ended(self, machine: DeliveryMachine, ending: events.DeliveryInstruction) -> None:
        """Log how a request ended."""
        if isinstance(ending, events.FinishStream):
            self._write_request("served", machine, ordinary=True)
        elif isinstance(ending, events.SendResponse):
            self._write_request("served", machine, True, status=ending.response.status)
        elif isinstance(ending, events.RefuseRequest):
            self._write_request(
                "not_run",
                machine,
                False,
                code=ending.code.name,
                come_back=ending.retry_after_seconds,
                tenant=machine.request.tenant,
                urgency=machine.request.priority,
            )
        elif isinstance(ending, events.FailRequest | events.AbortStream):
            self._write_request("unknown", machine, False, code=ending.code.name)

    def _write_request(
        self, outcome: str, machine: DeliveryMachine, ordinary: bool, **inputs: object
    ) -> None:
        now = clock.now_s()
        bucket = self._ordinary if ordinary else self._failures
        if bucket.try_take(1.0, now) > 0:
            self._suppressed += 1
            return
        request = machine.request
        last = machine.attempts[-1] if machine.attempts else None
        eliot.log_message(
            message_type=MESSAGE_PREFIX + "request",
            node=self.node,
            outcome=outcome,
            request=request.request_id,
            route=request.route.name,
            configuration=self.version,
            engine=last.engine_id if last else "",
            proxy=_proxy_id(last),
            weights=last.weight_version if last else 0,
            software_version=last.software_version if last else "",
            resumes=request.resumed_request_id[:MAX_LOGGED_ID_LENGTH],
            parts=_shared_part_ids(request),
            attempts=len(machine.attempts),
            last_event=machine.order.last_id,
            framing=machine.times.framing,
            milliseconds=round((now - request.received_at) * 1000),
            **_stream_fields(machine),
            time_left=round((request.deadline - now) * 1000),
            left_out=self._take_suppressed_count(),
            **inputs,
        )

    def _write_failure(self, kind: str, **inputs: object) -> None:
        self._write(kind, self._failures, inputs)

    def _write(self, kind: str, bucket: TokenBucket, inputs: Mapping[str, object]) -> None:
        if bucket.try_take(1.0, clock.now_s()) > 0:
            self._suppressed += 1
            return
        eliot.log_message(
            message_type=MESSAGE_PREFIX + kind,
            node=self.node,
            configuration=self.version,
            left_out=self._take_suppressed_count(),
            **inputs,
        )

    def _take_suppressed_count(self) -> int:
        count, self._suppressed = self._suppressed, 0
        return count


def _proxy_id(choice: events.EngineChoice | None) -> str:
    """Return the peer by which an attempt was sent, or nothing for the node's own link."""
    return choice.proxy.node_id if choice is not None and choice.proxy is not None else ""


def _shared_part_ids(request: OpaqueRequest) -> list[str]:
    """Return the ids of the parts that other requests may share, within the log's bounds."""
    if request.prompt is None:
        return []
    parts = request.prompt.shared_parts[:MAX_LOGGED_PARTS]
    return [part.part_id[:MAX_LOGGED_PART_ID_LENGTH] for part in parts]


def _lost_attempt_fields(machine: DeliveryMachine, times: AttemptTimes) -> dict[str, object]:
    """Return the log fields of a lost attempt; times are in milliseconds before now."""
    now = clock.now_s()
    first = times.first_event_at
    return {
        "fingerprint": machine.request.fingerprint.hex(),
        "tenant": machine.request.tenant,
        "parts": _shared_part_ids(machine.request),
        "sent_ms": round((now - times.sent_at) * 1000),
        "first_event_ms": None if first is None else round((now - first) * 1000),
    }


def _stream_fields(machine: DeliveryMachine) -> dict[str, int | None]:
    """Return the log fields of a stream's event times, in milliseconds."""
    times = machine.times
    if not times.first_event_at:
        return {}
    return {
        "first_event_ms": round((times.first_event_at - machine.request.received_at) * 1000),
        "longest_pause_ms": round(times.longest_pause_s * 1000),
        "longest_pause_after": times.longest_pause_after,
        "after_last_event_ms": round((clock.now_s() - times.last_event_at) * 1000),
    }
