"""Stand-in metadata store of the platform: items, leases, watches, and faults that tests set."""

import asyncio
import base64
import itertools
import json
import time

from aiohttp import web

from features.standin.connections import reset
from liftrill.bench.launcher import free_ports

MAX_NODES = 24
# Lease numbers are not revisions and are far larger.
FIRST_LEASE = 1 << 62
# How often a waiting watch checks for expired leases.
LEASE_CHECK_S = 0.5
# How often a silenced call checks whether its caller has closed the connection.
SILENT_CHECK_S = 0.2


class StandInStore:
    """A linearizable store in memory, on one port.

    Attributes:
        fault: "" or one of "down" (503), "silent" (no answer), "reset".
        unanswered_writes: how many of the next writes take effect but get no answer.
        refuses_writes: whether writing calls get 429, as beyond the store's rate of writes.
        refused_ips: the addresses of nodes whose calls get 503; a node calls at its own address.
        unnotified_ips: the addresses of nodes whose watches return no changes.
        odd_rows: JSON texts that take the place of rows in answers, by key.
        delay_s: how long it takes to answer each call.
        era: the `Store-Era` in all answers, or None to leave it out.
    """

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.leases = {}
        self.history = []
        self.fault = ""
        self.unanswered_writes = 0
        self.refuses_writes = False
        self.calls = []
        self.refused_ips = set()
        self.unnotified_ips = set()
        self.odd_rows = {}
        self.delay_s = 0.0
        self.era = None
        self.address = ""
        self.port = 0
        self._previous_era_until = 0.0
        self._answer_numbers = itertools.count()
        self._copies = []
        self._changed = asyncio.Event()
        self._runner = None
        self._watches_stalled = False
        self._watching = set()
        self._silent = set()

    async def start(self):
        app = web.Application()
        app.router.add_route("*", "/liftrill/{call}", self._handle)
        app.router.add_route("*", "/liftrill/{call}/{lease}", self._handle)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        # Within the range of this run: another run may use a port at other addresses only.
        self.port = free_ports(1)[0]
        await web.TCPSite(self._runner, "127.0.0.1", self.port).start()
        # Each node calls the store at its own address, which identifies the calling node.
        for number in range(1, MAX_NODES + 1):
            await web.TCPSite(self._runner, f"127.0.1.{number}", self.port).start()
        self.address = self.address_for("127.0.0.1")

    def address_for(self, ip):
        """Return the address at which a node calls the store."""
        return f"{ip}:{self.port}"

    async def stop(self):
        await self._runner.cleanup()

    def put(self, key, body, lease=0):
        self.revision += 1
        value = json.dumps(body).encode() if not isinstance(body, bytes) else body
        row = {
            "TlsKey": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self.revision,
            "Created": self.revision,
            "Lease": lease,
        }
        self.items[key] = row
        self._note(row)
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"TlsKey": key, "Revision": self.revision, "Gone": True})

    def value(self, key):
        row = self.items.get(key)
        return base64.b64decode(row["Value"]) if row else None

    def restore(self, seconds):
        """Restore the items of an earlier time in a new era; later changes and leases are lost."""
        until = time.monotonic() - seconds
        older = [copy for copy in self._copies if copy[0] <= until]
        _, self.revision, items = older[-1] if older else self._copies[0]
        self.items = {key: row for key, row in items.items() if not row["Lease"]}
        self.leases, self._copies = {}, [(0.0, self.revision, dict(self.items))]
        self.era = str(int(self.era) + 1)
        self.forget_history()
        for transport in self._watching:
            reset(transport)

    def alternate_eras(self, until):
        """Send the previous era in every second answer until a time, beginning with the second."""
        self._previous_era_until, self._answer_numbers = until, itertools.count()

    def forget_history(self):
        """Compact the history: watches from an earlier revision get 410."""
        self.history = [(self.revision, None)]
        self._wake()

    def stall_watches(self):
        """Answer no watch until `cut_watches`; key and range reads still work."""
        self._watches_stalled = True

    def cut_watches(self):
        """Reset the connections of watches, compact the history and answer watches again."""
        for transport in self._watching:
            reset(transport)
        self._watches_stalled = False
        self.forget_history()

    def silence_connections(self):
        """Never answer again on the connections that are open now; new connections work.

        Calls that arrive on them later have no effect. A call that is in flight may already have
        taken effect, or may still do so.
        """
        self._silent = {t for t in self._silent if not t.is_closing()}
        handlers = self._runner.server.connections
        self._silent.update(h.transport for h in handlers if h.transport is not None)

    def _note(self, row):
        self.history.append((self.revision, row))
        if self.era is not None:
            self._copies.append((time.monotonic(), self.revision, dict(self.items)))
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request):
        call = request.match_info["call"]
        self._expire()
        self.calls.append((call, time.monotonic()))
        transport = request.transport
        if transport in self._silent:
            return await _never_answer(transport)
        local_ip = transport.get_extra_info("sockname")[0]
        if self.fault == "down" or local_ip in self.refused_ips:
            return web.Response(status=503, headers=self._era_headers())
        if self.refuses_writes and call in ("kv-txn", "kv-lease"):
            return web.Response(status=429, headers=self._era_headers())
        if self.fault == "silent":
            await asyncio.sleep(30)
        await asyncio.sleep(self.delay_s)
        if self.fault == "reset":
            request.transport.abort()
            return web.Response()
        status, body = await self._answer(call, request)
        if self.unanswered_writes and call in ("kv-txn", "kv-lease") and status == 200:
            self.unanswered_writes -= 1
            request.transport.abort()
        if transport in self._silent:
            return await _never_answer(transport)
        text = self._with_odd_rows(json.dumps(body))
        headers = self._era_headers() | {"Content-Type": "application/json"}
        return web.Response(body=text.encode(), status=status, headers=headers)

    def _with_odd_rows(self, text):
        """Replace rows in an answer by the odd ones of their keys."""
        for key, row in self.odd_rows.items():
            if key in self.items:
                text = text.replace(json.dumps(self.items[key]), row)
        return text

    def _era_headers(self):
        if self.era is None:
            return {}
        use_previous = (
            time.monotonic() < self._previous_era_until and next(self._answer_numbers) % 2
        )
        return {"Store-Era": str(int(self.era) - 1) if use_previous else self.era}

    async def _answer(self, call, request):
        query = request.query
        if call == "kv-key":
            row = self.items.get(query["TlsKey"])
            return (200, {**row, "At": self.revision}) if row else (404, {})
        if call == "kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["PathPrefix"]))
            keys = [key for key in keys if key > query.get("after", "")]
            page = [self.items[key] for key in keys[:20]]
            return 200, {"items": page, "More": len(keys) > 20, "At": self.revision}
        if call == "kv-watch":
            return await self._watch_on(request.transport, query)
        return self._write(call, request, await request.read())

    async def _watch_on(self, transport, query):
        self._watching.add(transport)
        try:
            local_ip = transport.get_extra_info("sockname")[0]
            return await self._watch(query, local_ip)
        finally:
            self._watching.discard(transport)

    async def _watch(self, query, local_ip):
        after, prefix = int(query["after"]), query["PathPrefix"]
        until = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            if self._watches_stalled or local_ip in self.unnotified_ips:
                await self._changed_within(LEASE_CHECK_S)
                continue
            if self.history and self.history[0][1] is None and after < self.history[0][0]:
                return 410, {}
            if after > self.revision:
                return 410, {}
            rows = [row for at, row in self.history if row and at > after]
            rows = [row for row in rows if row["TlsKey"].startswith(prefix)]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {"Events": rows, "At": self.revision}
            await self._changed_within(min(left, LEASE_CHECK_S))

    async def _changed_within(self, seconds):
        try:
            await asyncio.wait_for(self._changed.wait(), seconds)
        except TimeoutError:
            self._expire()

    def _write(self, call, request, data):
        body = json.loads(data) if data else {}
        lease = int(request.match_info.get("lease", 0))
        if call == "kv-lease":
            self.revision += 1
            lease = FIRST_LEASE + self.revision
            self.leases[lease] = [time.monotonic() + body["TtlMs"] / 1000, body["TtlMs"]]
            return 200, {"Lease": lease, "TtlMs": body["TtlMs"]}
        if call == "kv-keep":
            if lease not in self.leases:
                return 404, {}
            self.leases[lease][0] = time.monotonic() + self.leases[lease][1] / 1000
            return 200, {"TtlMs": self.leases[lease][1]}
        if call == "kv-lease-end":
            self._end_lease(lease)
            return 200, {}
        return self._transact(body)

    def _transact(self, body):
        for row in body["Expected"]:
            known = self.items.get(row["TlsKey"])
            if (known["Revision"] if known else 0) != row["Revision"]:
                return 412, {"items": []}
        if any(row["Lease"] and row["Lease"] not in self.leases for row in body["Put"]):
            return 404, {}
        for row in body["Put"]:
            self.put(row["TlsKey"], base64.b64decode(row["Value"]), row["Lease"])
        for key in body["Remove"]:
            self.remove(key)
        return 200, {"Revision": self.revision}

    def _expire(self):
        now = time.monotonic()
        for lease in [number for number, (until, _) in self.leases.items() if until <= now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, row in self.items.items() if row["Lease"] == lease]:
            self.remove(key)


async def _never_answer(transport):
    """Wait without an answer until the caller closes the connection."""
    while True:
        if transport.is_closing():
            return web.Response()
        await asyncio.sleep(SILENT_CHECK_S)
