"""Steps on routes, API keys, configuration freshness and the retry allowance."""

from behave import given, then, when

from features.gateway_support import route_rule
from liftrill.gateway.admission.request_admission import (
    AdmissionRefusal,
    IncomingRequest,
    RequestAdmission,
)
from liftrill.gateway.admission.retry_allowance import RetryAllowance
from liftrill.gateway.configuration_view import ConfigurationView
from liftrill.gateway.records import BackendShare, GatewayConfiguration, Tenant
from liftrill.gateway.route_table import RouteTable, WeightedSplit

PROOF_SECONDS = 4.5


def configuration(version, routes=(), keys=None):
    return GatewayConfiguration(version, tuple(routes), {}, None, keys)


@given('routes "{first}" and "{second}" of host "{host}" and "{third}" of host "{other}"')
def step_routes(context, first, second, host, third, other):
    context.route_table = RouteTable(
        route_rule(name=prefix, host=name, path_prefix=prefix)
        for prefix, name in ((first, host), (second, host), (third, other))
    )


@then('a request for "{host}" "{path}" goes to "{expected}"')
def step_route(context, host, path, expected):
    route = context.route_table.find(host, path)
    assert (route.path_prefix if route else "none") == expected, route


@given('a route split {first:d} to {second:d} between "{one}" and "{two}"')
def step_split(context, first, second, one, two):
    shares = (BackendShare(one, first), BackendShare(two, second))
    context.route = route_rule(backends=shares)


@when("{count:d} requests are split")
def step_split_requests(context, count):
    split = WeightedSplit()
    context.services = [split.next_service(context.route) for _ in range(count)]


@when("each of {nodes:d} nodes splits {count:d} requests")
def step_split_nodes(context, nodes, count):
    splits = [WeightedSplit() for _ in range(nodes)]
    context.services = [s.next_service(context.route) for s in splits for _ in range(count)]


@then('"{one}" gets between {least:d} and {most:d} of them')
def step_share_between(context, one, least, most):
    found = context.services.count(one)
    assert least <= found <= most, found


@then('"{one}" gets {first:d} of them and "{two}" {second:d}')
def step_shares(context, one, first, two, second):
    assert context.services.count(one) == first
    assert context.services.count(two) == second


@given("versions 3, 7, 5 and 9 are offered in this order")
def step_versions(context):
    view = ConfigurationView(PROOF_SECONDS)
    context.adopted = [version for version in (3, 7, 5, 9) if view.adopt(configuration(version))]


@then("versions 3, 7 and 9 were adopted")
def step_adopted(context):
    assert context.adopted == [3, 7, 9]


@given('a configuration with the key "{key}" of tenant "{name}"')
def step_configuration(context, key, name):
    context.view = ConfigurationView(PROOF_SECONDS)
    routes = (route_rule(), route_rule(name="open", path_prefix="/open/", public=True))
    keys = {key: Tenant(name, 4, False)}
    context.view.adopt(configuration(5, routes, keys))


@given("no configuration")
def step_no_configuration(context):
    context.view = ConfigurationView(PROOF_SECONDS)


@given("a store read sent at second {second:g} proved it to be the newest")
def step_proved(context, second):
    context.view.prove_current(5, second)


@given("a store read sent at second {second:g} that returned another version")
def step_other_version(context, second):
    context.view.prove_current(6, second)


def admit(context, key, now, path="/a/x", timeout=None):
    incoming = IncomingRequest(
        "request-1", "POST", "host-1", path, path, (), b"", key, timeout, None, None, now
    )
    return RequestAdmission(context.view, WeightedSplit()).admit(incoming, now)


@then('at second {second:g} the key "{key}" is accepted for tenant "{name}"')
def step_accepted(context, second, key, name):
    admitted = admit(context, key, second)
    assert not isinstance(admitted, AdmissionRefusal), admitted
    assert admitted.tenant == name


@then('at second {second:g} the key "{key}" is refused with {code}')
def step_key_refused(context, second, key, code):
    refusal = admit(context, key, second)
    assert isinstance(refusal, AdmissionRefusal), refusal
    assert refusal.code.name == code, refusal


@then("at second {second:g} a public route is served")
def step_public(context, second):
    assert not isinstance(admit(context, "", second, "/open/x"), AdmissionRefusal)


@then(
    'a request with the key "{key}" and a timeout of {timeout:g} s'
    " has priority {priority:d} and a deadline in {left:g} s"
)
def step_priority(context, key, timeout, priority, left):
    admitted = admit(context, key, 101.0, timeout=timeout)
    assert admitted.priority == priority
    assert abs(admitted.deadline - 101.0 - left) < 1e-6


@given(
    "{nodes:d} nodes share a retry allowance of {ratio:g} of requests"
    " plus {slack:d} in {window:d} s"
)
def step_allowance(context, nodes, ratio, slack, window):
    context.make_allowance = lambda since: RetryAllowance(
        ratio, slack, float(window), slack_from=since, nodes=nodes
    )
    context.allowances = [context.make_allowance(0.0) for _ in range(nodes)]
    context.retries = 0


def spend_all(context, allowance, now):
    while allowance.try_spend("service-1", now):
        context.retries += 1


@when("each node gets {count:d} requests in {window:d} s and retries whenever it may")
def step_requests(context, count, window):
    for number in range(count):
        now = window * number / count
        for allowance in context.allowances:
            allowance.record_request("service-1", now)
            spend_all(context, allowance, now)


@when("one of them restarts {count:d} times within {window:d} s and retries whenever it may")
def step_restarts(context, count, window):
    for number in range(count):
        now = 9.0 + number * 0.3
        allowance = context.make_allowance(now + window)
        allowance.record_request("service-1", now)
        spend_all(context, allowance, now)


@then("all nodes together made at most {limit:d} retries")
def step_retries(context, limit):
    assert 0 < context.retries <= limit, context.retries
