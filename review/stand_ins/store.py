"""The platform's metadata store: items, leases, watches and transactions, in memory."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

from stand_ins.http import Answer, Message, read_message
from stand_ins.times import now_s

FIRST_LEASE = 1 << 40
LEASE_CHECK_S = 0.2


class Store:
    """A linearizable store on one port."""

    def __init__(self, host: str, port: int) -> None:
        self.address = f"{host}:{port}"
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self._next_lease = FIRST_LEASE
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Open the socket."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def close(self) -> None:
        """Close the socket."""
        if self._server is not None:
            self._server.close()

    def put(self, key: str, value: object, lease: int = 0) -> int:
        """Write an item as the operator or an engine does, and return its revision."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        row = {
            "TlsKey": key,
            "Value": base64.b64encode(data).decode(),
            "Revision": self.revision,
            "Created": self.items.get(key, {}).get("Created", self.revision),
            "Lease": lease,
        }
        self.items[key] = row
        self._note(row)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"TlsKey": key, "Revision": self.revision, "Gone": True})

    def _note(self, row: dict) -> None:
        self.history.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        now = now_s()
        for lease in [n for n, (until, _) in self.leases.items() if until <= now]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        for key in [k for k, row in self.items.items() if row["Lease"] == lease]:
            self.remove(key)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_message(reader)
                answer = await self._answer(request)
                writer.write(answer.encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> Answer:
        self._expire()
        url = urlsplit(request.target)
        query = {name: values[-1] for name, values in parse_qs(url.query).items()}
        words = url.path.split("/")
        body = json.loads(request.body) if request.body else {}
        status, content = await self._call(
            words[2], words[3] if len(words) > 3 else "", query, body
        )
        json_type = [("Content-Type", "application/json")]
        return Answer(status, json_type, json.dumps(content).encode())

    async def _call(self, call: str, number: str, query: dict, body: dict) -> tuple[int, dict]:
        if call == "kv-key":
            row = self.items.get(query["TlsKey"])
            return (200, {**row, "At": self.revision}) if row else (404, {"At": self.revision})
        if call == "kv-range":
            prefix, after = query.get("PathPrefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            rows = [self.items[key] for key in keys[:500]]
            return 200, {"items": rows, "More": len(keys) > 500, "At": self.revision}
        if call == "kv-watch":
            return await self._watch(query)
        if call == "kv-lease":
            self._next_lease += 1
            ttl_s = body["TtlMs"] / 1000
            self.leases[self._next_lease] = (now_s() + ttl_s, ttl_s)
            return 200, {"Lease": self._next_lease, "TtlMs": body["TtlMs"]}
        if call in ("kv-keep", "kv-lease-end"):
            return self._on_lease(call, int(number))
        return self._transact(body)

    def _on_lease(self, call: str, lease: int) -> tuple[int, dict]:
        if lease not in self.leases:
            return 404, {}
        _, ttl_s = self.leases[lease]
        if call == "kv-lease-end":
            self._end_lease(lease)
        else:
            self.leases[lease] = (now_s() + ttl_s, ttl_s)
        return 200, {"TtlMs": round(1000 * ttl_s)}

    async def _watch(self, query: dict) -> tuple[int, dict]:
        prefix, after = query.get("PathPrefix", ""), int(query["after"])
        until = now_s() + int(query["WaitMs"]) / 1000
        while True:
            self._expire()
            rows = [
                row
                for row in self.history
                if row["Revision"] > after and row["TlsKey"].startswith(prefix)
            ]
            left_s = until - now_s()
            if rows or left_s <= 0:
                return 200, {"Events": rows, "At": self.revision}
            try:
                async with asyncio.timeout(min(left_s, LEASE_CHECK_S)):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _transact(self, body: dict) -> tuple[int, dict]:
        expected = body.get("Expected") or []
        rows = [self.items.get(row["TlsKey"]) for row in expected]
        found = [row["Revision"] if row else 0 for row in rows]
        if found != [row["Revision"] for row in expected]:
            return 412, {"items": [row for row in rows if row]}
        puts = body.get("Put") or []
        if any(row.get("Lease") and row["Lease"] not in self.leases for row in puts):
            return 404, {}
        for key in body.get("Remove") or []:
            self.remove(key)
        for row in puts:
            self.put(row["TlsKey"], base64.b64decode(row["Value"]), row.get("Lease") or 0)
        return 200, {"Revision": self.revision}
