"""Encodes and decodes messages about requests that crash engines."""

from collections.abc import Iterator, Sequence
from dataclasses import replace

from liftrill.coordination.lost_runs import LostRun
from liftrill.gateway.opaque_request import FINGERPRINT_BYTES
from liftrill.gateway.quarantine_list import QuarantineEntry
from liftrill.messages import peer_pb2 as messages

# Encoded sizes: a run without its parts takes at most 64 bytes and a part 18, so that a datagram
# stays below 1,200 bytes.
RUN_BYTES, PART_BYTES = 64, 18
MAX_RUNS_BYTES = 1_100
MAX_PARTS_IN_MESSAGE = 40
# The duration of a quarantine doubles with each, up to a maximum that is reached long before.
MAX_QUARANTINE_COUNT = 1_000
# Integers up to this one survive the conversion to seconds and back.
MAX_UNIX_MILLISECONDS = 2**50


def datagrams_from_runs(node: str, runs: Sequence[LostRun], now: float) -> list[messages.Datagram]:
    """Return the datagrams that report a node's lost runs, with their ages as of now."""
    datagrams: list[messages.Datagram] = []
    free_bytes = 0
    for run in (piece for whole in runs for piece in _pieces(whole)):
        needed_bytes = RUN_BYTES + PART_BYTES * len(run.parts)
        if needed_bytes > free_bytes:
            datagrams.append(messages.Datagram(sender=node))
            free_bytes = MAX_RUNS_BYTES
        datagrams[-1].lost_runs.append(_run_message(run, now))
        free_bytes -= needed_bytes
    return datagrams


def _pieces(run: LostRun) -> Iterator[LostRun]:
    """Return a run as several ones, each with a few of its parts."""
    for first in range(0, max(1, len(run.parts)), MAX_PARTS_IN_MESSAGE):
        yield replace(run, parts=run.parts[first : first + MAX_PARTS_IN_MESSAGE])


def has_crash_message(message: messages.Datagram) -> bool:
    """Return whether a datagram is about requests or parts that crash engines."""
    return bool(
        message.lost_runs
        or message.served
        or message.served_parts
        or message.HasField("quarantined")
    )


def runs_from_message(message: messages.Datagram, now: float) -> list[LostRun]:
    """Return the lost runs in a datagram, with times of this node's clock."""
    return [
        LostRun(
            row.fingerprint,
            row.engine,
            row.early,
            now - row.sent_age_milliseconds / 1000,
            now - row.end_age_milliseconds / 1000,
            tuple(part for part in row.parts if len(part) == FINGERPRINT_BYTES),
            row.tenant,
            row.environment,
        )
        for row in message.lost_runs
        if len(row.fingerprint) == FINGERPRINT_BYTES
    ]


def datagram_from_served(subject: bytes, environment: int, age_s: float) -> messages.Datagram:
    """Return the datagram that reports the service of a request, or of a part under a version."""
    datagram = messages.Datagram(served_age_milliseconds=max(0, round(age_s * 1000)))
    if environment:
        datagram.served_parts.add(digest=subject, environment=environment)
    else:
        datagram.served.append(subject)
    return datagram


def served_at_from_message(message: messages.Datagram, now: float) -> float:
    """Return when the services in a datagram were reported first, by this node's clock."""
    return now - message.served_age_milliseconds / 1000


def datagram_from_entry(entry: QuarantineEntry) -> messages.Datagram:
    """Return the datagram that reports an entry in quarantine."""
    notice = messages.QuarantineNotice(fingerprint=entry.fingerprint, record=record_of(entry))
    return messages.Datagram(quarantined=notice)


def entry_from_notice(notice: messages.QuarantineNotice) -> QuarantineEntry | None:
    """Return the entry in a notice, or None if its fingerprint is invalid."""
    if len(notice.fingerprint) != FINGERPRINT_BYTES:
        return None
    return entry_from_record(notice.fingerprint, notice.record)


def record_of(entry: QuarantineEntry) -> messages.QuarantineRecord:
    """Return an entry as a record, which does not contain the fingerprint."""
    return messages.QuarantineRecord(
        until_unix_milliseconds=round(entry.until_unix_s * 1000),
        times=entry.quarantine_count,
        route=entry.route,
        tenant=entry.tenant,
        engines=entry.engines,
        part=entry.part,
        only_tenant=entry.only_tenant,
        companions=entry.companions,
        environment=entry.environment,
    )


def entry_from_record(fingerprint: bytes, record: messages.QuarantineRecord) -> QuarantineEntry:
    """Return the entry of a request that a record describes."""
    return QuarantineEntry(
        fingerprint,
        min(record.until_unix_milliseconds, MAX_UNIX_MILLISECONDS) / 1000,
        min(max(1, record.times), MAX_QUARANTINE_COUNT),
        record.route,
        record.tenant,
        tuple(record.engines),
        record.part,
        record.only_tenant,
        tuple(c for c in record.companions if len(c) == FINGERPRINT_BYTES),
        record.environment,
    )


def _run_message(run: LostRun, now: float) -> messages.LostRun:
    return messages.LostRun(
        fingerprint=run.fingerprint,
        engine=run.worker,
        early=run.early,
        sent_age_milliseconds=max(0, round((now - run.sent_at) * 1000)),
        end_age_milliseconds=max(0, round((now - run.ended_at) * 1000)),
        parts=run.parts,
        tenant=run.tenant,
        environment=run.environment,
    )
