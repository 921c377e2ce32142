"""Steps on readers that stop responding, and on the age of their follower's copy."""

import asyncio
import time
from contextlib import suppress

from behave import given, then, when

from features.following_node import POLL_INTERVAL_S, FollowingNode, ScriptedStore, eventually
from features.standin.connections import reset
from liftrill.bench.launcher import free_ports
from liftrill.coordination.membership_messages import Member
from liftrill.gateway.relay_client import ReaderLimits, max_mirror_age_s

# Longer than the timeouts of two readers, one after the other.
OBSERVED_S = 2.5


class SilenceableProxy:
    """Forwards connections to an address until it is silenced or ended."""

    def __init__(self, target):
        self.target = target
        self.silent = False
        self.writers = []

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())

    async def end(self):
        self.server.close()
        for writer in self.writers:
            reset(writer.transport)

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        if not self.target:
            return
        target_reader, target_writer = await asyncio.open_connection(*self.target.split(":"))
        self.writers.append(target_writer)
        # The event loop logs an error if the task of a connection is cancelled.
        with suppress(asyncio.CancelledError, ConnectionError):
            await asyncio.gather(
                self._forward(reader, target_writer), self._forward(target_reader, writer)
            )

    async def _forward(self, reader, writer):
        while data := await reader.read(65536):
            if not self.silent:
                writer.write(data)


class ReaderListNode(FollowingNode):
    """A node that follows the first of its readers that it has not lost."""

    def __init__(self, store, readers, limits):
        super().__init__("node", store, limits=limits)
        self.readers = readers

    def reader_to_follow(self, store_lost):
        return self.readers[0] if self.readers else None

    def reader_lost(self, reader, reason):
        super().reader_lost(reader, reason)
        self.readers = [r for r in self.readers if r != reader]


def member(name, address):
    return Member(name, address, "region", "zone", 1)


@given(
    "a node that must apply changes within {limit:g} s,"
    " and whose reader proves its copy every {every:g} s"
)
def step_node(context, limit, every):
    async def start():
        store = ScriptedStore()
        store.put("key", b"value")
        context.reader = FollowingNode("reader", store)
        await context.reader.start()
        context.reader_proving = asyncio.ensure_future(prove(context.reader, every))
        context.proxy = SilenceableProxy(context.reader.address)
        await context.proxy.start()
        context.store = ScriptedStore()
        context.store.put("key", b"value")
        limits = ReaderLimits("node", max_mirror_age_s(limit))
        readers = [member("reader", context.proxy.address)]
        context.node = ReaderListNode(context.store, readers, limits)
        context.node_proving = asyncio.ensure_future(prove(context.node, every))

    context.run(start())


async def prove(node, every_s):
    """Record proofs of a node's copy while the node reads the store itself."""
    while True:
        if node.follower.followed is None:
            now = time.monotonic()
            node.view.prove_current(5, now)
            node.follower.store_answered(2, now)
        await asyncio.sleep(every_s)


@given("a second reader that takes {what}")
def step_second(context, what):
    async def start():
        address = f"127.0.0.1:{free_ports(1)[0]}"
        if what == "connections in silence":
            silent = SilenceableProxy("")
            await silent.start()
            address = silent.address
        context.node.readers.append(member("second", address))
        await context.node.start()
        await eventually(lambda: context.node.answers > 1, 3.0)

    context.run(start())


@when("the first reader {what} once the node's copy is {age:g} s old")
def step_lost(context, what, age):
    async def lose():
        await eventually(lambda: copy_age_s(context.node) > age, 3.0)
        if what == "ends":
            await context.proxy.end()
        context.proxy.silent = True
        context.reads_before = len(context.store.read_times)
        context.ages_s = []
        until = time.monotonic() + OBSERVED_S
        while time.monotonic() < until:
            context.ages_s.append(round(copy_age_s(context.node), 2))
            await asyncio.sleep(POLL_INTERVAL_S)

    context.run(lose())


def copy_age_s(node):
    return node.follower.freshness.age_s(time.monotonic())


@then("the node's copy is never older than {seconds:g} s")
def step_never_older(context, seconds):
    assert context.ages_s[-1] < seconds, "the store was not read again"
    assert max(context.ages_s) <= seconds, max(context.ages_s)


@then("the node reads the store at most {count:d} times in the {seconds:g} s after that")
def step_few_reads(context, count, seconds):
    assert seconds == OBSERVED_S
    reads = len(context.store.read_times) - context.reads_before
    assert reads <= count, reads
