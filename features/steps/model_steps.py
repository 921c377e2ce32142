"""Steps that check the models in spec/."""

from behave import then, when
from minicheck import check_safety

from spec.claims import ClaimRules, claim_model
from spec.commit import CommitRules, commit_model
from spec.configuration_adoption import AdoptionRules, adoption_model
from spec.fenced_order import OrderRules, order_model
from spec.mirror_relay import RelayRules, path_model, relay_model
from spec.order_holder import HolderRules, holder_model
from spec.restored_store import RestoreRules, restore_model
from spec.stream_origin import OriginRules, origin_model

STATE_LIMIT = 1_000_000
GROUP_CHANGE = {"old": frozenset({0}), "new": frozenset({1})}
ROOT_ONLY = {"path_told": False}
MODELS = {
    "claims": (claim_model, ClaimRules, {}),
    "claims, group change": (claim_model, ClaimRules, GROUP_CHANGE),
    "commit": (commit_model, CommitRules, {}),
    "fenced order": (order_model, OrderRules, {}),
    "order holder": (holder_model, HolderRules, {}),
    "configuration adoption": (adoption_model, AdoptionRules, {}),
    "restored store": (restore_model, RestoreRules, {}),
    "stream origin": (origin_model, OriginRules, {}),
    "mirror relay": (relay_model, RelayRules, ROOT_ONLY),
    "mirror relay, path told": (path_model, RelayRules, {}),
}


def build_model(name, **rules):
    model, rules_type, setting = MODELS[name]
    return model(rules_type(**setting, **rules))


@when("the model {name} is checked without {rule}")
def step_check_without(context, name, rule):
    context.result = check_safety(build_model(name, **{rule: False}), max_states=STATE_LIMIT)


@when("the model {name} is checked")
def step_check(context, name):
    context.result = check_safety(build_model(name), max_states=STATE_LIMIT)
    print(f"{name}: {context.result['reachable_states']} states")


@then("every invariant holds in all reachable states")
def step_holds(context):
    assert context.result["exhaustive"], context.result
    for name, verdict in context.result["properties"].items():
        assert verdict["holds"] is True, (name, verdict)


@then("the checker finds a violation of {invariant}")
def step_violated(context, invariant):
    verdict = context.result["properties"][invariant]
    assert verdict["holds"] is False, verdict
    assert len(verdict["counterexample"]) > 1
