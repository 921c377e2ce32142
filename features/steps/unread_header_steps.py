"""Steps on headers of the platform that nothing reads."""

import sys
from pathlib import Path

from behave import given, then

sys.path.append(str(Path(__file__).resolve().parent.parent.parent / "platform"))
from unread_headers import UnreadHeaders


@given("answers of engines and the store with the headers {headers}")
def step_answers(context, headers):
    context.reported = []
    unread = UnreadHeaders(lambda *row: context.reported.append(row))
    sent = dict(header.split(": ") for header in headers.split(", "))
    for sender in ("engine-1", "store"):
        unread.note(sender, sent)


@then("{name} is reported, once")
def step_reported(context, name):
    names = [row[1] for row in context.reported]
    assert names == ([] if name == "nothing" else [name]), names
    assert all(row[0] == "engine-1" for row in context.reported)


@given("answers with {count:d} headers that nothing reads, of {length:d} characters each")
def step_many(context, count, length):
    context.reported = []
    unread = UnreadHeaders(lambda *row: context.reported.append(row))
    for number in range(count):
        unread.note("engine-1", {f"X-New-{number}": "v" * length})


@then("{count:d} are reported, of {length:d} characters each")
def step_bounded(context, count, length):
    assert len(context.reported) == count
    assert {len(row[2]) for row in context.reported} == {length}
