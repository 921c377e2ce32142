"""Confirms a plan by one compare-and-swap of the head.

The sections are content-addressed and written first; they have no effect until a head refers to
them. The head lists the identifiers of recent plans, so a lost response is resolved by reading
the head: it contains the plan, or another plan replaced it, or the swap can be retried at the
same revision. The retry is safe, because a revision can be replaced only once.
"""

from tenacity import (
    AsyncRetrying,
    retry_if_exception_type,
    stop_after_delay,
    wait_random_exponential,
)

from liftrill import constants
from liftrill.coordination.key_value_store import KeyValueStore, StoredEntry
from liftrill.errors import (
    OperatorError,
    ResultCode,
    StoreAnswerLostError,
    StoreError,
)
from liftrill.messages import configuration_pb2 as messages
from liftrill.planning.plan import Plan, section_digests
from liftrill.planning.sections import encode, parse_head

HEAD_KEY = "liftrill/head"
SECTION_KEY_PREFIX = "liftrill/sections/"


class PlanCommitter:
    """Confirms plans in the platform's store."""

    def __init__(
        self,
        store: KeyValueStore,
        timeout_seconds: float = constants.CONFIRMATION_TIMEOUT_SECONDS,
    ) -> None:
        self._store = store
        self._timeout_seconds = timeout_seconds

    async def confirm(self, plan: Plan, operator_name: str, now_milliseconds: int) -> messages.Head:
        """Confirm a plan and return the head that contains it.

        Raises:
            OperatorError: PLAN_CONFLICT if another plan was confirmed first,
                STORE_UNAVAILABLE if the store failed and nothing was changed,
                CONFIRMATION_UNRESOLVED if the plan may or may not be confirmed.
        """
        swap_may_have_happened = False
        try:
            async for attempt in self._retrying():
                with attempt:
                    await self._write_sections(plan)
                    entry = await self._store.get(HEAD_KEY)
                    current = parse_head(entry.value) if entry else messages.Head()
                    if _contains_plan(current, plan.plan_id):
                        return current
                    self._check_base(plan, current, swap_may_have_happened)
                    proposed = _next_head(current, plan, operator_name, now_milliseconds)
                    swap_may_have_happened = True
                    if await self._swap(entry, proposed):
                        return proposed
                    raise StoreAnswerLostError(
                        "the head changed during the swap and must be read again"
                    )
        except StoreError as error:
            raise self._store_failure_error(swap_may_have_happened) from error
        raise AssertionError("unreachable: the retry loop returns or raises")

    def _retrying(self) -> AsyncRetrying:
        return AsyncRetrying(
            retry=retry_if_exception_type(StoreError),
            stop=stop_after_delay(self._timeout_seconds),
            wait=wait_random_exponential(
                multiplier=constants.STORE_RETRY_FIRST_SECONDS,
                max=constants.STORE_RETRY_LONGEST_SECONDS,
            ),
            reraise=True,
        )

    async def _write_sections(self, plan: Plan) -> None:
        for digest, content in zip(
            section_digests(plan).values(), plan.sections.values(), strict=True
        ):
            # False means that the section exists, and then it has the same content.
            await self._store.compare_and_swap(section_key(digest), content, 0)

    async def _swap(self, entry: StoredEntry | None, head: messages.Head) -> bool:
        revision = entry.revision if entry else 0
        return await self._store.compare_and_swap(HEAD_KEY, encode(head), revision)

    @staticmethod
    def _check_base(plan: Plan, current: messages.Head, swap_may_have_happened: bool) -> None:
        if current.generation == plan.base_generation:
            return
        confirmed_count = current.generation - plan.base_generation
        if swap_may_have_happened and confirmed_count > constants.CONFIRMATIONS_KEPT:
            raise OperatorError(
                ResultCode.CONFIRMATION_UNRESOLVED,
                f"{confirmed_count} plans were confirmed since generation {plan.base_generation}",
            )
        detail = (
            f"the plan is based on generation {plan.base_generation}, "
            f"but generation {current.generation} is in force"
        )
        raise OperatorError(ResultCode.PLAN_CONFLICT, detail)

    @staticmethod
    def _store_failure_error(swap_may_have_happened: bool) -> OperatorError:
        if swap_may_have_happened:
            return OperatorError(
                ResultCode.CONFIRMATION_UNRESOLVED,
                retry_after_seconds=constants.RETRY_AFTER_SECONDS,
            )
        return OperatorError(
            ResultCode.STORE_UNAVAILABLE, retry_after_seconds=constants.RETRY_AFTER_SECONDS
        )


async def restore_newer_head(
    store: KeyValueStore, head: messages.Head, sections: dict[bytes, bytes]
) -> bool:
    """Write a confirmed head to a store that was restored from an older copy.

    Safe with concurrent writers: the swap only replaces the older head that was read.

    Returns:
        True if the store now has this head or a newer one.

    Raises:
        StoreError: the store did not respond.
    """
    entry = await store.get(HEAD_KEY)
    stored = parse_head(entry.value) if entry else messages.Head()
    if stored.generation >= head.generation:
        return True
    for digest, content in sections.items():
        await store.compare_and_swap(section_key(digest), content, 0)
    revision = entry.revision if entry else 0
    return await store.compare_and_swap(HEAD_KEY, encode(head), revision)


def section_key(digest: bytes) -> str:
    """Return the store key of a section."""
    return SECTION_KEY_PREFIX + digest.hex()


def _contains_plan(head: messages.Head, plan_id: str) -> bool:
    return any(confirmation.plan_id == plan_id for confirmation in head.confirmations)


def _next_head(
    current: messages.Head, plan: Plan, operator_name: str, now_milliseconds: int
) -> messages.Head:
    head = messages.Head()
    head.CopyFrom(current)
    head.generation = plan.base_generation + 1
    # A plan contains every section, so sections that it lacks, such as empty shards, are removed.
    head.section_digests.clear()
    for name, digest in section_digests(plan).items():
        head.section_digests[name] = digest
    head.confirmations.add(
        plan_id=plan.plan_id,
        operator_name=operator_name,
        confirmed_at_milliseconds=now_milliseconds,
        generation=head.generation,
        summary=plan.summary[: constants.CONFIRMATION_SUMMARY_CHARACTERS],
    )
    del head.confirmations[: -constants.CONFIRMATIONS_KEPT]
    return head
