"""Assembles a node, and runs it until it receives a stop signal."""

import asyncio
import random
import signal
from collections.abc import Callable, Coroutine

import aiohttp
from aiohttp import web

from liftrill import clock, constants
from liftrill.cache.directory import PrefixDirectory
from liftrill.guarded_connection import new_session
from liftrill.mechanisms import DISABLED, Mechanism, is_enabled
from liftrill.node.caller_api import CallerApi, error_middleware
from liftrill.node.claim_service import ClaimService
from liftrill.node.configuration_sync import ConfigurationSync
from liftrill.node.context import NodeContext
from liftrill.node.control_loop import ControlLoop
from liftrill.node.dispatcher import Dispatcher
from liftrill.node.engine_client import EngineClient
from liftrill.node.engine_watch import EngineWatch
from liftrill.node.gossip import GossipService, new_membership
from liftrill.node.logs import log_change
from liftrill.node.metrics import NodeMetrics
from liftrill.node.open_requests import OpenRequests
from liftrill.node.operator_api import OperatorApi
from liftrill.node.peer_api import PeerApi
from liftrill.node.peer_client import PeerClient
from liftrill.node.platform_client import PlatformClient
from liftrill.node.prefix_exchange import PrefixExchangeService
from liftrill.node.request_runner import RequestRunner
from liftrill.node.response_faults import ResponseFaultLog
from liftrill.node.settings import NodeSettings
from liftrill.planning.commit import PlanCommitter
from liftrill.planning.sections import ConfigurationView
from liftrill.routing.admission import AdmissionController
from liftrill.routing.engine_records import EngineRecords
from liftrill.routing.engine_state import EngineTable
from liftrill.routing.policies import POLICIES
from liftrill.routing.router import Router


class NodeDaemon:
    """The process of one node: its servers, background tasks and shutdown."""

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        self._tasks: set[asyncio.Task[None]] = set()
        self._stop_requested = asyncio.Event()
        self._forced_stop = asyncio.Event()
        self._is_pulling = False

    async def run(self) -> bool:
        """Serve until a stop signal; return whether all requests have ended before the stop."""
        self._install_signal_handlers()
        metrics = NodeMetrics()
        async with new_session(ResponseFaultLog(metrics).report) as session:
            context = self._assemble(session, metrics)
            runners = await self._listen(context)
            await self._gossip.listen(self._settings.peer_listen)
            for run in self._background:
                self._spawn(self._supervise(run))
            log_change("node_started", node=self._settings.node_id)
            if DISABLED:
                names = sorted(mechanism.value for mechanism in DISABLED)
                log_change("mechanisms_disabled", names=names)
            await self._stop_requested.wait()
            clean = await self._drain(context) if is_enabled(Mechanism.DRAIN) else False
            self._gossip.depart()
            for runner in runners:
                await runner.cleanup()
            await self._cancel_tasks()
            self._gossip.close()
        log_change("node_stopped", node=self._settings.node_id, clean=clean)
        return clean

    def _assemble(self, session: aiohttp.ClientSession, metrics: NodeMetrics) -> NodeContext:
        settings = self._settings
        engines = EngineTable()
        admission = AdmissionController()
        random_source = random.Random()
        secret = settings.cache_secret.encode()
        directory = PrefixDirectory(constants.DIRECTORY_MARKERS, constants.DIRECTORY_CANDIDATES)
        policy = POLICIES[settings.policy](directory, random_source)
        router = Router(engines, policy, directory, admission, secret, clock.now_s)
        dispatcher = Dispatcher(router, metrics)
        client = EngineClient(session, secret)
        runner = RequestRunner(engines, client, dispatcher, metrics, self._spawn)
        membership = new_membership(settings, random_source)
        records = EngineRecords(engines, constants.GOSSIP_RETRANSMISSION_FACTOR)
        context = NodeContext(
            settings=settings,
            metrics=metrics,
            engines=engines,
            admission=admission,
            router=router,
            dispatcher=dispatcher,
            runner=runner,
            open_requests=OpenRequests(metrics),
            membership=membership,
            records=records,
        )
        store = PlatformClient(session, settings.platform)
        peers = PeerClient(session, settings.shared_keys, metrics)
        self._gossip = GossipService(
            membership, records, settings.shared_keys, metrics, self._on_newer_generation
        )
        watch = EngineWatch(context, store, client, records, membership, random_source)
        self._sync = ConfigurationSync(
            context=context,
            store=store,
            peers=peers,
            random_source=random_source,
            watches_store=watch.watches_store,
            on_members=self._gossip.merge_members,
            on_adopted=self._on_adopted,
        )
        self._control = ControlLoop(context, store, client, watch.refresh, random_source)
        self._prefix_exchange = PrefixExchangeService(
            context, directory, membership, peers, client, random_source
        )
        self._claims = ClaimService(settings.node_id, membership, peers, self._spawn)
        self._operator_api = OperatorApi(
            context, PlanCommitter(store), self._sync, peers, self._claims
        )
        self._background = (
            self._gossip.run,
            self._join,
            self._sync.watch_store,
            watch.follow_machine_list,
            watch.follow_reports,
            self._claims.verify_epoch,
            self._control.run,
            self._prefix_exchange.exchange_with_homes,
            self._prefix_exchange.follow_events,
        )
        return context

    def _on_adopted(self, view: ConfigurationView) -> None:
        """Pass an adopted configuration to the services that depend on it."""
        self._claims.apply_section(view.claims)
        self._gossip.announce()

    def _on_newer_generation(self, address: str) -> None:
        """Fetch a newer configuration from the member that announced it; one fetch at a time."""
        if self._is_pulling:
            return
        self._is_pulling = True
        self._spawn(self._pull(address))

    async def _join(self) -> None:
        if is_enabled(Mechanism.PEER_SNAPSHOT):
            await self._sync.join_from_peers()

    async def _pull(self, address: str) -> None:
        try:
            await self._sync.pull_head(address)
        finally:
            self._is_pulling = False

    async def _listen(self, context: NodeContext) -> list[web.AppRunner]:
        public = web.Application(
            client_max_size=constants.MAXIMUM_BODY_BYTES, middlewares=[error_middleware]
        )
        public.add_routes(CallerApi(context, self._claims).routes())
        public.add_routes(self._operator_api.routes())
        internal = web.Application()
        internal.add_routes(PeerApi(context, self._claims, self._prefix_exchange).routes())
        return [
            await _serve(public, self._settings.listen),
            await _serve(internal, self._settings.peer_listen),
        ]

    async def _drain(self, context: NodeContext) -> bool:
        """Refuse new requests and wait for those in flight; return whether all have ended."""
        context.draining = True
        log_change("drain_started", grace_seconds=self._settings.drain_grace_seconds)
        open_requests = context.open_requests
        drained = asyncio.create_task(open_requests.wait_until_none())
        forced = asyncio.create_task(self._forced_stop.wait())
        await asyncio.wait(
            (drained, forced),
            timeout=self._settings.drain_grace_seconds,
            return_when=asyncio.FIRST_COMPLETED,
        )
        drained.cancel()
        forced.cancel()
        if self._forced_stop.is_set():
            log_change("second_signal", requests_cut_off=open_requests.count)
        elif open_requests.count:
            log_change("drain_grace_ended", requests_cut_off=open_requests.count)
        return open_requests.count == 0

    def _install_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._on_signal)

    def _on_signal(self) -> None:
        if self._stop_requested.is_set():
            self._forced_stop.set()
        self._stop_requested.set()

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    async def _supervise(self, run: Callable[[], Coroutine[None, None, None]]) -> None:
        """Run a background task; restart it after an exception, since the node needs all tasks."""
        while True:
            try:
                await run()
                return
            except Exception as error:
                log_change("background_task_failed", task=run.__qualname__, error=repr(error))
                await asyncio.sleep(constants.BACKGROUND_RESTART_SECONDS)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_change("task_failed", error=repr(task.exception()))

    async def _cancel_tasks(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def _serve(application: web.Application, endpoint: str) -> web.AppRunner:
    host, _, port = endpoint.rpartition(":")
    runner = web.AppRunner(application, handler_cancellation=True, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, int(port)).start()
    return runner
