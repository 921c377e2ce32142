"""HTTP handlers for operators: intents, plans, history, status and explanations."""

import asyncio
import hmac
import time
import uuid
from dataclasses import asdict

from aiohttp import web
from pydantic import ValidationError

from liftrill import clock, constants
from liftrill.coordination.membership_messages import (
    Member,
)
from liftrill.errors import OperatorError, ResultCode
from liftrill.messages.configuration_pb2 import Head
from liftrill.node.caller_schema import API_KEY_HEADER, BEARER_PREFIX
from liftrill.node.claim_service import ClaimService
from liftrill.node.configuration_sync import ConfigurationSync
from liftrill.node.context import NodeContext
from liftrill.node.logs import log_change
from liftrill.node.peer_client import PeerClient, PeerError
from liftrill.node.responses import json_response
from liftrill.planning.commit import PlanCommitter
from liftrill.planning.intent import Intent
from liftrill.planning.plan import Plan, make_plan

OPERATOR_NAME_HEADER = "Liftrill-Operator"
PLAN_ID_CHARACTERS = 12


class OperatorApi:
    """Serves the operator API; each call must contain the operator key of the settings."""

    def __init__(
        self,
        context: NodeContext,
        committer: PlanCommitter,
        sync: ConfigurationSync,
        peers: PeerClient,
        claims: ClaimService,
    ) -> None:
        self._context = context
        self._committer = committer
        self._sync = sync
        self._peers = peers
        self._claims = claims

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes."""
        return [
            web.post("/operator/intents", self._submit_intent),
            web.get("/operator/plans", self._list_plans),
            web.get("/operator/plans/{plan_id}", self._show_plan),
            web.delete("/operator/plans/{plan_id}", self._discard_plan),
            web.post("/operator/plans/{plan_id}/confirm", self._confirm_plan),
            web.get("/operator/history", self._history),
            web.get("/operator/status", self._status),
            web.get("/operator/explain/{request_id}", self._explain),
        ]

    async def _submit_intent(self, request: web.Request) -> web.Response:
        self._authenticate(request)
        try:
            intent = Intent.model_validate_json(await request.read())
        except ValidationError as error:
            problem = error.errors(include_url=False)[0]
            location = ".".join(str(part) for part in problem["loc"])
            detail = f"{location}: {problem['msg']}"
            raise OperatorError(ResultCode.INVALID_INTENT, detail) from error
        plan_id = uuid.uuid4().hex[:PLAN_ID_CHARACTERS]
        plan = make_plan(plan_id, intent, self._context.view, self._context.engines_by_pool())
        self._store_plan(plan)
        return json_response(_plan_body(plan), 201)

    async def _list_plans(self, request: web.Request) -> web.Response:
        self._authenticate(request)
        return json_response({"plans": [_plan_body(p) for p in self._context.plans.values()]})

    async def _show_plan(self, request: web.Request) -> web.Response:
        self._authenticate(request)
        return json_response(_plan_body(self._find_plan(request)))

    async def _discard_plan(self, request: web.Request) -> web.Response:
        self._authenticate(request)
        plan = self._find_plan(request)
        del self._context.plans[plan.plan_id]
        return json_response({"discarded": plan.plan_id})

    async def _confirm_plan(self, request: web.Request) -> web.Response:
        self._authenticate(request)
        plan = self._find_plan(request)
        operator_name = request.headers.get(OPERATOR_NAME_HEADER, "unnamed")[:64]
        await self._check_not_behind(plan)
        await self._check_claim_change_adopted(plan)
        now_milliseconds = int(time.time() * 1000)
        head = await self._committer.confirm(plan, operator_name, now_milliseconds)
        log_change("plan_confirmed", plan=plan.plan_id, generation=head.generation)
        await self._sync.offer(head)
        return json_response({"confirmed": plan.plan_id, "generation": head.generation})

    async def _check_not_behind(self, plan: Plan) -> None:
        """Refuse a plan if any reachable member has a newer configuration than its base.

        The commit also checks this in the store, but a store that was restored from an old
        copy does not contain the newer configuration.
        """
        generations = (await self._fetch_member_generations()).values()
        newest = max((g for g in generations if g is not None), default=0)
        if newest > plan.base_generation and not _is_in_head(plan, self._context.head):
            detail = f"generation {newest} is in force, but the plan is based on generation "
            raise OperatorError(ResultCode.PLAN_CONFLICT, f"{detail}{plan.base_generation}")

    async def _check_claim_change_adopted(self, plan: Plan) -> None:
        if not plan.completes_claim_change:
            return
        if not await self._claims.previous_majority_has_adopted(plan.base_generation):
            raise OperatorError(
                ResultCode.CLAIM_CHANGE_PENDING, retry_after_seconds=constants.RETRY_AFTER_SECONDS
            )

    async def _history(self, request: web.Request) -> web.Response:
        self._authenticate(request)
        rows = [
            {
                "plan_id": c.plan_id,
                "operator": c.operator_name,
                "confirmed_at_milliseconds": c.confirmed_at_milliseconds,
                "generation": c.generation,
                "summary": c.summary,
            }
            for c in self._context.head.confirmations
        ]
        return json_response({"confirmations": rows})

    async def _status(self, request: web.Request) -> web.Response:
        self._authenticate(request)
        context = self._context
        engines = [
            {
                "engine_id": engine.engine_id,
                "pool": engine.pool,
                "zone": engine.zone,
                "weight_version": engine.weight_version,
                "leaving": engine.leaving,
                "load": round(engine.load(clock.now_s()), 1),
                "answered": engine.identity is not None,
            }
            for engine in context.engines
        ]
        body = {
            "node_id": context.settings.node_id,
            "zone": context.settings.zone,
            "generation": context.view.generation,
            "ready": context.unready_reason() is None,
            "reason": context.unready_reason(),
            "members": await self._fetch_member_generations(),
            "engines": engines,
        }
        return json_response(body)

    async def _fetch_member_generations(self) -> dict[str, int | None]:
        """Fetch the generation in force of each member; None if the member does not respond."""
        members = self._context.membership.members()
        generations = await asyncio.gather(*(self._fetch_generation(m) for m in members))
        return {m.node_id: g for m, g in zip(members, generations, strict=True)}

    async def _fetch_generation(self, member: Member) -> int | None:
        if member.node_id == self._context.settings.node_id:
            return self._context.view.generation
        try:
            return (await self._peers.status(member.address)).configuration_generation
        except PeerError:
            return None

    async def _explain(self, request: web.Request) -> web.Response:
        self._authenticate(request)
        request_id = request.match_info["request_id"]
        explanations = self._context.router.explanations(request_id)
        if not explanations:
            raise OperatorError(ResultCode.REQUEST_NOT_FOUND)
        return json_response({"attempts": [asdict(e) for e in explanations]})

    def _authenticate(self, request: web.Request) -> None:
        key = request.headers.get(API_KEY_HEADER, "").removeprefix(BEARER_PREFIX)
        expected = self._context.settings.operator_key
        if not hmac.compare_digest(key.encode(), expected.encode()):
            raise OperatorError(ResultCode.INVALID_OPERATOR_KEY)

    def _find_plan(self, request: web.Request) -> Plan:
        plan = self._context.plans.get(request.match_info["plan_id"])
        if plan is None:
            raise OperatorError(ResultCode.PLAN_NOT_FOUND)
        return plan

    def _store_plan(self, plan: Plan) -> None:
        self._context.plans[plan.plan_id] = plan
        while len(self._context.plans) > constants.PLANS_KEPT:
            del self._context.plans[next(iter(self._context.plans))]


def _is_in_head(plan: Plan, head: Head) -> bool:
    return any(confirmation.plan_id == plan.plan_id for confirmation in head.confirmations)


def _plan_body(plan: Plan) -> dict[str, object]:
    return {
        "plan_id": plan.plan_id,
        "base_generation": plan.base_generation,
        "changes": [change.text() for change in plan.changes],
        "consequences": [consequence.text for consequence in plan.consequences],
    }
