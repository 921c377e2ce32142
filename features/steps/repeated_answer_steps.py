"""Steps on engines that repeat an answer in the place of the next one on its connection."""

import asyncio
import sys
from pathlib import Path

from behave import given, then, when

from features.gateway_support import engine_record
from features.standin.connections import listen
from features.standin.engine import StandInEngine
from features.steps.proxied_requests_steps import cut_first
from liftrill.gateway.engines.engine_table import EngineView
from liftrill.gateway.http_client import new_engine_session
from liftrill.gateway.order_client import WeightOrder

sys.path.append(str(Path(__file__).resolve().parent.parent.parent / "platform"))
from engines import PlatformEngineTransport, PlatformOrderClient

MODEL = "model-1"
SERVED = 200
OLD_VERSION, VERSION = 1, 2
# Routes to the model engine for whole answers, and one to others.
ROUTES = (
    ("once", "/once/", "non_idempotent", "llm"),
    ("safely", "/safely/", "idempotent", "llm"),
    ("other", "/other/", "idempotent", "desk"),
)
TARGET_MS = 3000
# Within this time nodes read a record that was written.
RECORD_READ_S = 0.4


REPORT = b'{"Models": [], "SeqNo": 3, "Utilization": false, "born": 1}'
ORDER = WeightOrder(MODEL, VERSION, "node-1", 1, 1)
CLOSED_WITHIN_S = 1.0


class RepeatingEngine(StandInEngine):
    """An engine with newer weights than its record says, which repeats its refusal.

    Attributes:
        record_delay_s: how long after its refusal it writes its record, or None for before it.
        on_stale: called as a request for the weights of its record arrives.
        refused_at: the peer address of the connection on which it refused that request.
    """

    record_delay_s = None
    on_stale = staticmethod(lambda: None)

    def __post_init__(self):
        super().__post_init__()
        self.sequence = 1
        self.refused_at = None
        self._repeated = b""

    def stale_record(self):
        models = [{"Name": MODEL, "Version": OLD_VERSION, "Adapters": []}]
        return {**self.record(), "Models": models, "SeqNo": 0}

    async def _serve(self, request, arrival):
        peer = request.transport.get_extra_info("peername")
        if request.headers.get("X-Expect-Version") == str(OLD_VERSION):
            self.refused_at = peer
            await self._update_record()
            self._repeated = self._refusal(arrival.attempt_id)
        elif self._repeated and peer == self.refused_at:
            repeated, self._repeated = self._repeated, b""
            request.transport.write(repeated)
        return await super()._serve(request, arrival)

    async def _update_record(self):
        if self.record_delay_s is None:
            self.on_stale()
            await asyncio.sleep(RECORD_READ_S)
        else:
            asyncio.get_running_loop().call_later(self.record_delay_s, self.on_stale)

    def _refusal(self, attempt_id):
        head = (
            f"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {self.engine_id}\r\n"
            f"X-Attempt-Id: {attempt_id}\r\nContent-Length: 0\r\n\r\n"
        )
        return head.encode()


@given("a model engine that repeats a refusal")
def step_repeating(context):
    deployment = context.deployment
    engine = deployment.add_engine("llm-0", "llm", RepeatingEngine, weights={MODEL: VERSION})
    context.engine = context.run(engine)
    deployment.store.put("servers/llm-0", context.engine.stale_record())


@given("the first node has read routes with {attempts:d} attempts")
def step_routes(context, attempts):
    """Wait until the node follows the store, so that it reads later records at once."""
    deployment, first = context.deployment, context.deployment.nodes[0]
    # Requests that are refused may wait for an engine within their target latency.
    options = {"attempts": attempts, "target_ms": TARGET_MS}
    deployment.configure(6, extra_routes=ROUTES, **options)

    async def is_read():
        return (await deployment.call(first, "/other/x"))[0] == SERVED

    context.run(deployment.wait_until(is_read))


@given("the first node reaches no engine, and its peer reaches all")
def step_peer_reaches(context):
    # A request to the model engine would take its refusal.
    context.run(cut_first(context, [("/safe/x", "")]))


@when('a client posts to "{path}", and the engine refuses it once its record is up to date')
def step_post(context, path):
    deployment, engine = context.deployment, context.engine
    engine.on_stale = lambda: deployment.record(engine)
    context.answer = context.run(deployment.call(deployment.nodes[0], path, model=MODEL))


@when('a client posts to "{path}", and the engine\'s record follows its refusal by {delay:g} s')
def step_post_early(context, path, delay):
    context.engine.record_delay_s = delay
    step_post(context, path)


@then("the client got the whole answer of one run, on another connection than the refusal")
def step_one_run(context):
    engine, (status, _, body, is_whole) = context.engine, context.answer
    runs = [arrival for arrival in engine.arrivals if arrival.ran]
    assert engine.refused_at is not None, "the engine refused nothing"
    assert (status, is_whole, len(runs)) == (SERVED, True, 1), (status, body, len(runs))
    assert not runs[0].on_kept, "the run came on the connection of the refusal"


@given("an engine that answers a call with {status:d}, naming a request")
def step_naming(context, status):
    answer = (
        f"HTTP/1.1 {status} Status\r\nX-Attempt-Id: a1\r\nX-Instance-Id: e1\r\n"
        f"Content-Length: {len(REPORT)}\r\n\r\n"
    ).encode() + REPORT
    context.closed = asyncio.Event()

    async def serve(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            while await reader.read(1024):
                pass
        except ConnectionError:
            pass
        context.closed.set()
        writer.close()

    context.port = context.run(listen(context.stack, serve))


@when("the node sends it a call for {call}")
def step_call(context, call):
    async def send():
        view = EngineView(engine_record("e1", address=f"127.0.0.1:{context.port}"))
        async with new_engine_session() as session:
            transport = PlatformEngineTransport(session)
            client = PlatformOrderClient(transport)
            calls = {
                "an order": lambda: client.order(view, ORDER),
                "a report": lambda: client.report(view),
                "its identity": lambda: transport.identify(view),
            }
            reply = await calls[call]()
            context.outcome = "none" if reply is None else getattr(reply, "value", str(reply))
            async with asyncio.timeout(CLOSED_WITHIN_S):
                await context.closed.wait()

    context.run(send())


@then('the call counts as "{outcome}", and its connection is closed')
def step_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome
