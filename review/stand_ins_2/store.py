"""The platform's metadata store, as the page PROTOCOL.md tells it."""

import asyncio
import base64
import json

from . import wire

PAGE_ITEMS = 500
LEASE_CHECK_S = 0.05
ANSWER_S = 0.004


class Store:
    """One store at one address.

    Attributes:
        is_silent: whether it takes calls and neither does nor answers them.
        on_call: called with the name of each call as it arrives.
    """

    def __init__(self, log):
        self.revision = 100
        self.items = {}
        self.leases = {}
        self.history = []
        self.is_silent = False
        self.on_call = lambda call: None
        self._log = log
        self._changed = asyncio.Event()
        self._next_lease = 7000

    async def start(self, ip):
        """Listen at a free port of an address."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def stop(self):
        """Stop listening."""
        self._server.close()

    def put(self, key, body, lease=0):
        """Write an item, as the operator or an engine does."""
        value = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.revision += 1
        created = self.items[key]["Created"] if key in self.items else self.revision
        self.items[key] = {
            "TlsKey": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self.revision,
            "Created": created,
            "Lease": lease,
        }
        self._note(self.items[key])

    def remove(self, key):
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"TlsKey": key, "Revision": self.revision, "Gone": True})

    def _note(self, row):
        self.history.append((self.revision, row))
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self):
        now = _now_s()
        for lease, (until, _) in list(self.leases.items()):
            if until <= now:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, row in self.items.items() if row["Lease"] == lease]:
            self.remove(key)

    async def _serve(self, reader, writer):
        try:
            while (request := await wire.read_request(reader)) is not None:
                call = request.path.removeprefix("/liftrill/").partition("/")[0]
                if self.is_silent:
                    self._log(f"store: {call} arrived and is left unanswered")
                    await reader.read()
                    return
                self._expire()
                self.on_call(call)
                await asyncio.sleep(ANSWER_S)
                status, body = await self._answer(call, request)
                if self.is_silent:
                    await reader.read()
                    return
                headers = [("Content-Type", "application/json")]
                writer.write(wire.answer(status, headers, json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, call, request):
        """Return the status and the body of the answer to a call."""
        if call == "kv-watch":
            return await self._watch(request.query)
        calls = {
            "kv-key": self._key,
            "kv-range": self._range,
            "kv-txn": self._transact,
            "kv-lease": self._grant,
            "kv-keep": self._keep,
            "kv-lease-end": self._end,
        }
        return calls[call](request) if call in calls else (404, {})

    def _key(self, request):
        row = self.items.get(request.query["TlsKey"])
        return (200, {**row, "At": self.revision}) if row else (404, {"At": self.revision})

    def _range(self, request):
        keys = sorted(k for k in self.items if k.startswith(request.query["PathPrefix"]))
        keys = [key for key in keys if key > request.query.get("after", "")]
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return 200, {"items": page, "More": len(keys) > PAGE_ITEMS, "At": self.revision}

    def _grant(self, request):
        ttl_ms = json.loads(request.body)["TtlMs"]
        self._next_lease += 1
        self.leases[self._next_lease] = (_now_s() + ttl_ms / 1000, ttl_ms)
        return 200, {"Lease": self._next_lease, "TtlMs": ttl_ms}

    def _keep(self, request):
        lease = int(wire.last_segment(request.target))
        if lease not in self.leases:
            return 404, {}
        ttl_ms = self.leases[lease][1]
        self.leases[lease] = (_now_s() + ttl_ms / 1000, ttl_ms)
        return 200, {"Lease": lease, "TtlMs": ttl_ms}

    def _end(self, request):
        self._end_lease(int(wire.last_segment(request.target)))
        return 200, {}

    async def _watch(self, query):
        after, prefix = int(query["after"]), query["PathPrefix"]
        until = _now_s() + int(query["WaitMs"]) / 1000
        while True:
            rows = [row for at, row in self.history if at > after]
            rows = [row for row in rows if row["TlsKey"].startswith(prefix)]
            left_s = until - _now_s()
            if rows or left_s <= 0 or self.is_silent:
                return 200, {"Events": rows, "At": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), min(left_s, LEASE_CHECK_S))
            except TimeoutError:
                self._expire()

    def _transact(self, request):
        body = json.loads(request.body)
        expected = body.get("Expected", [])
        rows = [self.items.get(row["TlsKey"]) for row in expected]
        found = [row["Revision"] if row else 0 for row in rows]
        if found != [row["Revision"] for row in expected]:
            return 412, {"items": [row for row in rows if row]}
        puts = body.get("Put", [])
        if any(row.get("Lease") and row["Lease"] not in self.leases for row in puts):
            return 404, {}
        for row in puts:
            self.put(row["TlsKey"], base64.b64decode(row["Value"]), row.get("Lease", 0))
        for key in body.get("Remove", []):
            self.remove(key)
        return 200, {"Revision": self.revision}


def _now_s():
    return asyncio.get_running_loop().time()
