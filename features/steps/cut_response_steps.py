"""Steps on responses of which only a part, or nothing but the head, is read."""

import asyncio
import sys
from pathlib import Path

from behave import given, then

from liftrill.coordination.range_store import Expectation
from liftrill.errors import StoreAnswerLostError, StoreUnavailableError
from liftrill.gateway.http_client import new_engine_session, new_store_session
from liftrill.gateway.response_reader import framing_of
from liftrill.response_framing import MalformedResponseError

sys.path.append(str(Path(__file__).resolve().parent.parent.parent / "platform"))

from store import PlatformStore

CALLS = {
    "read": lambda store: store.read("key"),
    "read_range": lambda store: store.read_range("prefix/", ""),
    "watch": lambda store: store.watch("prefix/", 1, 0.1),
    "transact": lambda store: store.transact((Expectation("key", 0),), ()),
    "grant_lease": lambda store: store.grant_lease(2.0),
    "renew_lease": lambda store: store.renew_lease(1),
}
ERRORS = {"unavailable": StoreUnavailableError, "answer lost": StoreAnswerLostError}


@given("a server that answers with the headers {headers}, and closes the connection")
def step_server(context, headers):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        lines = "".join(f"{line}\r\n" for line in headers.split(" and ") if line != "none")
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
        writer.close()

    async def start():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        context.stack.callback(server.close)
        context.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    context.run(start())


@then('the end of its response is marked by "{framing}"')
def step_framing(context, framing):
    async def read():
        async with new_engine_session() as session:
            try:
                async with session.get(f"http://{context.address}/") as response:
                    return framing_of(response).value
            except MalformedResponseError:
                return "nothing"

    assert context.run(read()) == framing


@then('as the store, its answer to "{call}" counts as {outcome}')
def step_store(context, call, outcome):
    async def ask():
        async with new_store_session() as session:
            store = PlatformStore(session, context.address, lambda name: None)
            try:
                await CALLS[call](store)
            except (StoreUnavailableError, StoreAnswerLostError) as error:
                return type(error)
            return None

    assert context.run(ask()) is ERRORS.get(outcome)
