"""The deployment under a soak, and the changes that operators and engines make to it."""

import asyncio
import itertools
import signal
import time
from contextlib import suppress

from features.soak.proxy import FaultProxy, ProxyFault
from features.soak.timeline import Timeline
from features.standin import link_addresses, sleeper
from features.standin.deployment import ROOT, Deployment
from features.standin.engine_links import NodeLinks

DESK_ENGINES = 3
MODEL_ENGINES = 4
# An engine still accepts requests for this long after it left, to record late ones: three times
# DrainMs.
ACCEPTS_AFTER_LEAVING_S = 6.0
# After an engine crashed on a request: when its replacement starts, and when its record expires
# (three heartbeats of 1.2 s, less the time since the last one).
REPLACED_AFTER_S = 1.0
# Events of engines of several versions, slow enough for engines to end in the middle of streams.
VERSIONED_EVENT_S = 0.05
RECORD_EXPIRES_AFTER_S = 2.5


def now_unix_ms():
    """Return the wall-clock time in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000


class Fleet:
    """Nodes behind proxies, a store and engines, with the timeline of their changes.

    With `report_start_times`, the engines' records contain their start times. `draw_root` returns
    the tree of the build from which a node is started, and `draw_version` the software version of
    an engine, whose events then state it.

    Attributes:
        retired: engines that left; some of them still accept requests.
        others: by id, the engines that faults of the fleet leave out and its own callers don't use.
        extra_configuration: what the configuration contains for them.
    """

    def __init__(
        self,
        directory,
        nodes,
        crash_callers,
        sleeps=False,
        report_start_times=False,
        draw_root=None,
        cuts=False,
        draw_version=None,
    ):
        self.links = {}
        self._has_links = cuts
        self._crashes_on = crash_callers.bodies()
        self._crashes_on_parts = crash_callers.parts()
        self.reports_start_times = report_start_times
        self._draw_root = draw_root or (lambda: ROOT)
        self._draw_version = draw_version
        self._wrapper = [sleeper.__file__] if sleeps else ()
        self._replacing = []
        self.deployment = Deployment(directory)
        self.timeline = Timeline()
        self.proxies = {}
        self.retired = []
        self.others = {}
        self.extra_configuration = {}
        self.keys = ["key-0"]
        self._node_count = nodes
        self._version = 5
        self._weight_version = 1
        self._engine_numbers = itertools.count(1)
        self._key_numbers = itertools.count(1)
        self._starting = asyncio.Lock()

    @property
    def store(self):
        return self.deployment.store

    @property
    def nodes(self):
        return self.deployment.nodes

    def running_nodes(self):
        return [node for node in self.nodes if node.process.returncode is None]

    def engines(self, service=None):
        """Return the engines that have not left, of one service if it is given."""
        known = self.deployment.engines.values()
        return [engine for engine in known if service in (None, engine.service)]

    def all_engines(self):
        return [*self.engines(), *self.retired]

    async def start(self):
        for _ in range(DESK_ENGINES):
            await self._add_engine("desk")
        for _ in range(MODEL_ENGINES):
            await self._add_engine("llm")
        self.configure()
        for number in range(self._node_count):
            node = await self._add_node(f"node-{number + 1}")
            await self.deployment.ready(node)
            await self._put_proxy_before_store(node)

    async def _add_node(self, name):
        if not self._has_links:
            return await self.deployment.add_node(
                name, wrapper=self._wrapper, root=self._draw_root()
            )
        links = self.links[name] = NodeLinks(self.deployment.directory / f"{name}.links")
        await links.start([engine.address for engine in self.engines()])
        return await self.deployment.add_node(
            name,
            wrapper=[link_addresses.__file__],
            root=self._draw_root(),
            environment={link_addresses.LINKS_FILE: str(links.path)},
        )

    async def _put_proxy_before_store(self, node):
        """Start a node again so that it connects to the store through a proxy."""
        # The nodes use all of their ports at each of their addresses.
        used = {*self.deployment.ports.values(), self.deployment.ports["Peer"] + 1}
        port = next(port for port in itertools.count(self.store.port + 1) if port not in used)
        proxy = FaultProxy(f"{node.ip}:{port}", self.store.address_for(node.ip))
        with suppress(OSError):
            await proxy.start()
            self.proxies[node.name] = proxy
            others = [other for other in self.nodes if other is not node][:3]
            node.write_settings(proxy.address, others, self.deployment.bounds, False)
            await node.stop()
            await node.start()
            await self.deployment.ready(node)

    async def start_node(self, node):
        # Two faults that end together would start two processes, of which one would be lost.
        async with self._starting:
            if node.process.returncode is not None:
                node.root = self._draw_root()
                await node.start()

    # Changes

    def configure(self):
        self._version += 1
        self._write_configuration()

    def _write_configuration(self):
        self.deployment.configure(
            self._version, keys=tuple(self.keys), backups=True, **self.extra_configuration
        )

    def rewrite_all(self):
        """Write the operator's and the engines' items again, as after a restore of the store."""
        self._write_configuration()
        self.deployment.set_weight_version(self._weight_version)
        for key in [key for key in self.store.items if key.startswith("servers/")]:
            if key.removeprefix("servers/") not in {**self.deployment.engines, **self.others}:
                self.store.remove(key)
        for engine in [*self.engines(), *self.others.values()]:
            self.deployment.record(engine)

    def revoke(self):
        """Replace all API keys by a new one."""
        old = self.keys[0]
        self.keys = [f"key-{next(self._key_numbers)}"]
        self.configure()
        self.timeline.note_revocation(old)

    def set_weight_version(self):
        self._weight_version += 1
        self.deployment.set_weight_version(self._weight_version)
        self.timeline.note_version(self._weight_version)

    async def drain_engine(self, engine, removed_after_s):
        """Set an engine's record to draining, remove the record later, and then stop the engine."""
        await self._replace(engine)
        self.deployment.record(engine, "draining")
        self.timeline.note_departure(engine.engine_id)
        await asyncio.sleep(removed_after_s)
        self._remove_record(engine)
        await asyncio.sleep(max(0.0, ACCEPTS_AFTER_LEAVING_S - removed_after_s))
        await engine.stop()

    async def hide_record(self, engine, seconds):
        """Remove an engine's record for a while, and write it again unchanged."""
        self.store.remove(f"servers/{engine.engine_id}")
        await asyncio.sleep(seconds)
        if engine in self.engines():
            self.deployment.record(engine)

    async def remove_unannounced(self, engine):
        """Remove the record of an engine without draining it; the engine runs on for a while."""
        await self._replace(engine)
        self._remove_record(engine)
        await asyncio.sleep(ACCEPTS_AFTER_LEAVING_S)
        await engine.stop()

    async def crash(self, engine, removed_after_s):
        """Stop an engine and remove its record some time later."""
        await self._replace(engine)
        await engine.stop()
        await asyncio.sleep(removed_after_s)
        self._remove_record(engine)

    async def restart_engine(self, engine, pause_s):
        """Crash an engine and start it again under its id after a pause; its record stays."""
        if self.deployment.engines.get(engine.engine_id) is not engine:
            return
        self.retired.append(engine)
        del self.deployment.engines[engine.engine_id]
        await engine.crash()
        await asyncio.sleep(pause_s)
        options = {"weights": dict(engine.weights), "born_unix_ms": now_unix_ms()}
        await self._add_crashing(engine.engine_id, engine.service, options)

    def _software(self):
        if self._draw_version is None:
            return {}
        return {
            "software_version": self._draw_version(),
            "names_version": True,
            "event_seconds": VERSIONED_EVENT_S,
        }

    def _remove_record(self, engine):
        self.store.remove(f"servers/{engine.engine_id}")
        self.timeline.note_departure(engine.engine_id)

    async def _replace(self, engine):
        del self.deployment.engines[engine.engine_id]
        self.retired.append(engine)
        await self._add_engine(engine.service)

    async def _add_engine(self, service):
        name = f"{service}-{next(self._engine_numbers)}"
        options = {"weights": {"model-1": self._weight_version}} if service == "llm" else {}
        if self.reports_start_times:
            options["born_unix_ms"] = now_unix_ms()
        engine = await self._add_crashing(name, service, options)
        for links in self.links.values():
            await links.add(engine.address)
        return engine

    async def _add_crashing(self, name, service, options):
        """Add an engine that crashes on the crash requests, and is replaced then."""
        engine = await self.deployment.add_engine(
            name,
            service,
            crashes_on=self._crashes_on,
            crashes_on_parts=self._crashes_on_parts,
            **options,
            **self._software(),
        )
        if self._crashes_on or self._crashes_on_parts:
            self._replacing.append(asyncio.ensure_future(self._replace_crashed(engine)))
        return engine

    async def _replace_crashed(self, engine):
        """Start another engine some time after this one crashed on a request."""
        await engine.crashed.wait()
        for links in self.links.values():
            links.engine_ended(engine.address)
        await asyncio.sleep(REPLACED_AFTER_S)
        if self.deployment.engines.get(engine.engine_id) is not engine:
            # Another fault has already removed this engine.
            return
        await self._replace(engine)
        await asyncio.sleep(RECORD_EXPIRES_AFTER_S - REPLACED_AFTER_S)
        self._remove_record(engine)

    # End of the soak

    async def clear_faults(self):
        """Clear all faults and start the nodes that are down."""
        self.store.fault, self.store.unanswered_writes = "", 0
        self.store.refused_ips.clear()
        for links in self.links.values():
            links.restore()
        for proxy in self.proxies.values():
            proxy.fault = ProxyFault.NONE
        for engine in self.engines():
            engine.fault, engine.refuses_orders, engine.retry_after = "", False, ""
        for node in self.nodes:
            with suppress(ProcessLookupError):
                node.signal(signal.SIGCONT)
            await self.start_node(node)

    async def stop_retired(self):
        for engine in self.retired:
            await engine.stop()
        for links in self.links.values():
            await links.stop()
