"""Client of the platform's key-value service, which has a subset of Consul's HTTP API."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import aiohttp
import orjson

from liftrill import constants
from liftrill.coordination.key_value_store import (
    KeyValueStore,
    MachineEntry,
    MachineList,
    StoredEntry,
)
from liftrill.errors import StoreAnswerLostError, StoreUnavailableError
from liftrill.gateway.field_reader import (
    MAX_NUMBER,
    UNREADABLE_VALUE,
    FieldReader,
    decode_json,
    is_port,
    whole,
)
from liftrill.gateway.record_decoder import RecordError
from liftrill.limited_response import require_marked_end

INDEX_HEADER = "X-Consul-Index"
REFUSAL_STATUSES = frozenset({429, 500, 503})


@dataclass(frozen=True, slots=True)
class _ReadResponse:
    """The body and the index of a response to a read."""

    index: int
    body: bytes


class PlatformClient(KeyValueStore):
    """A `KeyValueStore` that calls the platform over HTTP."""

    def __init__(self, session: aiohttp.ClientSession, base_url: str) -> None:
        self._session = session
        self._base_url = base_url

    async def get(self, key: str) -> StoredEntry | None:
        """Return the entry of a key, or None if the key is absent."""
        return await self._read_entry(key, {}, constants.STORE_TIMEOUT_SECONDS)

    async def watch(self, key: str, after_revision: int, wait_seconds: float) -> StoredEntry | None:
        """Return the entry once its revision exceeds the given one, or after the wait."""
        query = {"index": str(after_revision), "wait": f"{wait_seconds}s"}
        return await self._read_entry(key, query, wait_seconds + constants.STORE_TIMEOUT_SECONDS)

    async def compare_and_swap(self, key: str, value: bytes, revision: int) -> bool:
        """Write a value if the key is still at a revision; return whether it was written."""
        body = await self._write(f"/v1/kv/{key}", {"cas": str(revision)}, value)
        return body == b"true"

    async def create_session(self, time_to_live_seconds: float) -> str:
        """Create a lease and return its identifier."""
        content = orjson.dumps({"TTL": f"{time_to_live_seconds}s"})
        body = await self._write("/v1/session/create", {}, content)
        try:
            return FieldReader(decode_json(body)).text("ID")
        except RecordError as error:
            raise StoreAnswerLostError(f"no valid session in the response: {error}") from error

    async def renew_session(self, session: str) -> bool:
        """Renew a lease; return False if it has expired."""
        try:
            await self._write(f"/v1/session/renew/{session}", {}, b"")
        except _NotFoundError:
            return False
        return True

    async def acquire(self, key: str, value: bytes, session: str) -> StoredEntry | None:
        """Acquire a key for a lease; return its entry, or None if another lease holds it."""
        body = await self._write(f"/v1/kv/{key}", {"acquire": session}, value)
        if body != b"true":
            return None
        entry = await self.get(key)
        return entry if entry is not None and entry.session == session else None

    async def watch_machines(self, after_index: int, wait_seconds: float) -> MachineList:
        """Return the list once its index differs from `after_index`, or after the wait."""
        query = {"index": str(after_index), "wait": f"{wait_seconds}s"}
        timeout_seconds = wait_seconds + constants.STORE_TIMEOUT_SECONDS
        result = await self._read("/v1/catalog/services-list", query, timeout_seconds)
        if result is None:
            return MachineList(0, ())
        rows = _rows("/v1/catalog/services-list", result.body)
        machines = [_machine(row) for row in rows]
        refused = sum(machine is None for machine in machines)
        return MachineList(result.index, tuple(m for m in machines if m is not None), refused)

    async def _read_entry(
        self, key: str, query: Mapping[str, str], timeout_seconds: float
    ) -> StoredEntry | None:
        result = await self._read(f"/v1/kv/{key}", query, timeout_seconds)
        if result is None:
            return None
        rows = _rows(key, result.body)
        try:
            row = FieldReader(rows[0] if rows else None)
            session = row.table.get("Session")
            return StoredEntry(
                key=row.text("Key"),
                value=row.base64("Value", UNREADABLE_VALUE),
                revision=row.number_in("ModifyIndex"),
                session=session if isinstance(session, str) else "",
            )
        except RecordError as error:
            raise StoreUnavailableError(f"invalid entry of {key}: {error}") from error

    async def _read(
        self, path: str, query: Mapping[str, str], timeout_seconds: float
    ) -> "_ReadResponse | None":
        """Return the response, or None for status 404.

        A read has no effect, so each failure raises StoreUnavailableError.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_seconds)
        try:
            async with self._session.get(
                self._base_url + path, params=query, timeout=timeout
            ) as response:
                if response.status == 404:
                    return None
                if response.status != 200:
                    raise StoreUnavailableError(
                        f"the store responded to a read of {path} with status {response.status}"
                    )
                index = whole(response.headers.get(INDEX_HEADER, "0"), 0, MAX_NUMBER)
                body = await response.read()
                require_marked_end(response)
                return _ReadResponse(index, body)
        except (aiohttp.ClientError, TimeoutError, RecordError) as error:
            raise StoreUnavailableError(f"cannot read {path} from the store: {error!r}") from error

    async def _write(self, path: str, query: Mapping[str, str], content: bytes) -> bytes:
        timeout = aiohttp.ClientTimeout(total=constants.STORE_TIMEOUT_SECONDS)
        try:
            async with self._session.put(
                self._base_url + path, params=query, data=content, timeout=timeout
            ) as response:
                body = await response.read()
                if response.status in REFUSAL_STATUSES:
                    raise StoreUnavailableError(
                        f"the store refused a write of {path} with status {response.status}"
                    )
                if response.status == 404:
                    raise _NotFoundError(f"the store has no resource at {path}")
                # Without its body, the answer to a write that was made looks like a refusal.
                require_marked_end(response)
                return body
        except aiohttp.ClientConnectorError as error:
            raise StoreUnavailableError(f"cannot connect to the store to write {path}") from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise StoreAnswerLostError(
                f"no response from the store to a write of {path}: {error!r}"
            ) from error


class _NotFoundError(StoreUnavailableError):
    """The store responded to a write with status 404."""


def _rows(path: str, body: bytes) -> list[Any]:
    """Return the rows of a response.

    Raises:
        StoreUnavailableError: the response is not a list.
    """
    try:
        rows = decode_json(body)
    except RecordError as error:
        raise StoreUnavailableError(f"invalid response to a read of {path}: {error}") from error
    if not isinstance(rows, list):
        raise StoreUnavailableError(f"response to a read of {path} is not a list")
    return rows


def _machine(content: object) -> MachineEntry | None:
    """Return the machine in a row, or None if the row is invalid."""
    try:
        row = FieldReader(content)
        meta = FieldReader(row.table.get("Meta"))
        address = row.text("Address")
        host, _, port = address.rpartition(":")
        if not host or not is_port(port):
            return None
        return MachineEntry(
            machine_id=row.text("ID"),
            service=row.text("Name"),
            address=address,
            zone=meta.text("Zone"),
            leaving=meta.table.get("Leaving") == "true",
        )
    except RecordError:
        return None
