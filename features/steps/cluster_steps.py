"""Steps that start the processes of a deployment and send requests to them."""

import signal

import orjson
from behave import given, then, when

from features.support import generations, planned_requests, post, send_all, start_cluster
from liftrill.bench.deployment import api_key
from liftrill.bench.launcher import wait_until


@given("a cluster of {engines:d} engines and {nodes:d} nodes")
def step_cluster(context, engines, nodes):
    start_cluster(context, engines, nodes)
    context.run(context.cluster.configure())


@given("an unconfigured cluster of {engines:d} engines and {nodes:d} nodes")
def step_unconfigured_cluster(context, engines, nodes):
    start_cluster(context, engines, nodes)


@when("{count:d} requests are sent through all nodes")
def step_send_requests(context, count):
    context.records = context.run(send_all(context, planned_requests(context, count)))


@then("every request ran and got its complete and correct response")
def step_all_ran(context):
    for record in context.records:
        assert record.complete, record
        assert record.execution == "ran", record
        assert not record.problems, record.problems


REQUESTS = {
    "malformed JSON": (b'{"model": ', {}),
    "an oversized body": (b'{"prompt": "' + b"x" * 5_000_000 + b'"}', {}),
    "an unknown model": (orjson.dumps({"model": "none", "prompt": "x"}), {}),
    "a wrong API key": (
        orjson.dumps({"model": "chart-reader", "prompt": "x"}),
        {"Authorization": "Bearer wrong"},
    ),
    "an out-of-range deadline": (
        orjson.dumps({"model": "chart-reader", "prompt": "x"}),
        {"Liftrill-Deadline-Milliseconds": "99999999999999999999"},
    ),
    "a missing prompt": (orjson.dumps({"model": "chart-reader"}), {}),
    "an unknown workload": (
        orjson.dumps({"model": "chart-reader", "prompt": "x"}),
        {"Liftrill-Workload": "none"},
    ),
    "an idempotency key that is no UUIDv7": (
        orjson.dumps({"model": "chart-reader", "prompt": "x"}),
        {"Liftrill-Repeatable": "no", "Idempotency-Key": "1234"},
    ),
    "a valid body": (orjson.dumps({"model": "chart-reader", "prompt": "x"}), {}),
}


@when("a request with {kind} is sent")
def step_send_request(context, kind):
    body, headers = REQUESTS[kind]
    context.answer = context.run(post(context, "/v1/completions", body, headers))


@then("the response has status {status:d}, code {code:d} and execution {execution}")
def step_response_code(context, status, code, execution):
    actual_status, headers, body = context.answer
    error = orjson.loads(body)["error"]
    assert actual_status == status, (actual_status, body)
    assert error["code"] == code, body
    assert headers["Liftrill-Code"] == str(code), headers
    assert headers["Liftrill-Execution"] == execution, headers
    assert set(error) >= {"message", "type", "code", "param"}, body


@then("no engine executed a request")
def step_nothing_executed(context):
    assert context.cluster.executions() == []


@when("the operator confirms an intent on node {node:d}")
def step_confirm_intent(context, node):
    async def confirm():
        operator = context.cluster.operator(node)
        intent = orjson.loads(str(context.text))
        context.plan = await operator.call("POST", "/intents", intent)
        path = f"/plans/{context.plan['plan_id']}/confirm"
        context.confirmation = await operator.call("POST", path)

    context.run(confirm())


@when("the operator submits an intent to node {node:d}")
def step_submit_intent(context, node):
    operator = context.cluster.operator(node)
    intent = orjson.loads(str(context.text))
    context.plan = context.run(operator.call("POST", "/intents", intent))


@then("the plan contains the line")
def step_plan_line(context):
    assert context.text.strip() in context.plan["changes"], context.plan


@then("every node reaches generation {generation:d}")
def step_reach_generation(context, generation):
    async def reached_everywhere():
        return all(g == generation for g in await generations(context))

    context.run(wait_until(reached_everywhere, f"generation {generation} on every node"))


@then("every node is at generation {generation:d}")
def step_at_generation(context, generation):
    actual = context.run(generations(context))
    assert actual == [generation] * len(actual), actual


@then("{tenant} can send requests to node {node:d}")
def step_tenant_served(context, tenant, node):
    body = orjson.dumps({"model": "chart-reader", "prompt": "x"})
    headers = {"Authorization": f"Bearer {api_key(tenant)}"}
    status, _, answer = context.run(post(context, "/v1/completions", body, headers, node))
    assert status == 200, (status, answer)


@when("node {number:d} is killed")
def step_kill_node(context, number):
    node = context.cluster.nodes[number]
    node.send_signal(signal.SIGKILL)
    assert node.wait(10) is not None


@when("node {number:d} is started again")
def step_start_node(context, number):
    context.cluster.nodes[number].start()


@then("node {number:d} becomes ready")
def step_node_ready(context, number):
    context.run(context.cluster.wait_ready(context.cluster.nodes[number]))


@when("the platform is unavailable for {seconds:d} seconds")
def step_outage(context, seconds):
    context.run(context.cluster.platform_fault(kind="outage", seconds=seconds))
