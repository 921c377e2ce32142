"""Adaptor to the platform's key-value service: a small part of Consul's HTTP API."""

import base64
from collections.abc import Mapping
from dataclasses import dataclass

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

INDEX_HEADER = "X-Consul-Index"
REFUSED_STATUSES = frozenset({429, 500, 503})


@dataclass(frozen=True, slots=True)
class _ReadAnswer:
    """Body and index of a read."""

    index: int
    body: bytes


class PlatformClient(KeyValueStore):
    """A `KeyValueStore` over HTTP."""

    def __init__(self, session: aiohttp.ClientSession, base_url: str) -> None:
        self._session = session
        self._base_url = base_url

    async def get(self, key: str) -> StoredEntry | None:
        """Return the entry of a key."""
        return await self._read_entry(key, {}, constants.STORE_TIMEOUT_SECONDS)

    async def watch(self, key: str, after_revision: int, wait_seconds: float) -> StoredEntry | None:
        """Return the entry once it changes, or as it is after the wait."""
        query = {"index": str(after_revision), "wait": f"{wait_seconds}s"}
        return await self._read_entry(key, query, wait_seconds + constants.STORE_TIMEOUT_SECONDS)

    async def compare_and_swap(self, key: str, value: bytes, revision: int) -> bool:
        """Write a value if the key is still at a revision."""
        body = await self._write(f"/v1/kv/{key}", {"cas": str(revision)}, value)
        return body == b"true"

    async def create_session(self, time_to_live_seconds: float) -> str:
        """Create a lease."""
        content = orjson.dumps({"TTL": f"{time_to_live_seconds}s"})
        body = await self._write("/v1/session/create", {}, content)
        return str(orjson.loads(body)["ID"])

    async def renew_session(self, session: str) -> bool:
        """Renew a lease."""
        try:
            await self._write(f"/v1/session/renew/{session}", {}, b"")
        except _NotFoundError:
            return False
        return True

    async def acquire(self, key: str, value: bytes, session: str) -> StoredEntry | None:
        """Take a key for a lease."""
        body = await self._write(f"/v1/kv/{key}", {"acquire": session}, value)
        if body != b"true":
            return None
        entry = await self.get(key)
        return entry if entry is not None and entry.session == session else None

    async def watch_machines(self, after_index: int, wait_seconds: float) -> MachineList:
        """Return the list of machines once its index differs, or as it is after the wait."""
        query = {"index": str(after_index), "wait": f"{wait_seconds}s"}
        timeout_seconds = wait_seconds + constants.STORE_TIMEOUT_SECONDS
        answer = await self._read("/v1/catalog/services-list", query, timeout_seconds)
        if answer is None:
            return MachineList(0, ())
        rows = orjson.loads(answer.body)
        machines = tuple(
            MachineEntry(
                machine_id=row["ID"],
                service=row["Name"],
                address=row["Address"],
                zone=row["Meta"]["Zone"],
                leaving=row["Meta"].get("Leaving") == "true",
            )
            for row in rows
        )
        return MachineList(answer.index, machines)

    async def _read_entry(
        self, key: str, query: Mapping[str, str], timeout_seconds: float
    ) -> StoredEntry | None:
        answer = await self._read(f"/v1/kv/{key}", query, timeout_seconds)
        if answer is None:
            return None
        row = orjson.loads(answer.body)[0]
        return StoredEntry(
            key=row["Key"],
            value=base64.b64decode(row["Value"]),
            revision=row["ModifyIndex"],
            session=row.get("Session", ""),
        )

    async def _read(
        self, path: str, query: Mapping[str, str], timeout_seconds: float
    ) -> "_ReadAnswer | None":
        """Return an answer, or None for 404. A read has no effect, so any failure is harmless."""
        timeout = aiohttp.ClientTimeout(total=timeout_seconds)
        try:
            async with self._session.get(
                self._base_url + path, params=query, timeout=timeout
            ) as response:
                if response.status == 404:
                    return None
                if response.status != 200:
                    raise StoreUnavailableError(f"the store answered {response.status}")
                index = int(response.headers.get(INDEX_HEADER, "0"))
                return _ReadAnswer(index, await response.read())
        except (aiohttp.ClientError, TimeoutError) as error:
            raise StoreUnavailableError(f"the store cannot be read: {error!r}") from error

    async def _write(self, path: str, query: Mapping[str, str], content: bytes) -> bytes:
        timeout = aiohttp.ClientTimeout(total=constants.STORE_TIMEOUT_SECONDS)
        try:
            async with self._session.put(
                self._base_url + path, params=query, data=content, timeout=timeout
            ) as response:
                body = await response.read()
                if response.status in REFUSED_STATUSES:
                    raise StoreUnavailableError(f"the store answered {response.status}")
                if response.status == 404:
                    raise _NotFoundError(path)
                return body
        except aiohttp.ClientConnectorError as error:
            raise StoreUnavailableError("the store cannot be reached") from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise StoreAnswerLostError(f"no answer to a write: {error!r}") from error


class _NotFoundError(StoreUnavailableError):
    """The store does not know the path that was written to."""
