"""The schema of the intent files that operators write.

Items in an intent are added or replaced; items that it does not contain stay unchanged.
"""

from pydantic import AwareDatetime, Field, model_validator

from liftrill import constants
from liftrill.settings_file import StrictModel

NAME_PATTERN = r"^[a-z0-9][a-z0-9_.-]{0,62}$"


class TenantIntent(StrictModel):
    """A tenant and its limits; a rate of 0 means no limit."""

    name: str = Field(pattern=NAME_PATTERN)
    api_keys: list[str] = Field(min_length=1)
    weight: float = Field(default=1.0, gt=0)
    requests_per_second: float = Field(default=0.0, ge=0)
    request_burst: float = Field(default=0.0, ge=0)
    prompt_tokens_per_second: float = Field(default=0.0, ge=0)
    prompt_token_burst: float = Field(default=0.0, ge=0)


class WorkloadIntent(StrictModel):
    """The priority, deadline and limits of a class of requests; priority 0 is the most urgent."""

    name: str = Field(pattern=NAME_PATTERN)
    model: str = Field(min_length=1)
    priority: int = Field(default=1, ge=0, le=9)
    deadline_milliseconds: int = Field(
        default=constants.DEFAULT_DEADLINE_MILLISECONDS,
        ge=constants.SHORTEST_DEADLINE_MILLISECONDS,
        le=constants.LONGEST_DEADLINE_MILLISECONDS,
    )
    retry_share: float = Field(default=constants.DEFAULT_RETRY_SHARE, gt=0, le=1)
    requests_per_second: float = Field(default=0.0, ge=0)
    request_burst: float = Field(default=0.0, ge=0)


class PoolIntent(StrictModel):
    """Engines that serve one model; the name is the service name in the machine list."""

    name: str = Field(pattern=NAME_PATTERN)
    model: str = Field(min_length=1)
    adapter: str = ""
    weight_version: str = Field(min_length=1)
    minimum_engines: int = Field(default=1, ge=0)
    borrow_limit: int = Field(default=0, ge=0)
    borrow_from: list[str] = Field(default_factory=list)


class BurstIntent(StrictModel):
    """A scheduled burst; engines are borrowed from its lead time until its end."""

    name: str = Field(pattern=NAME_PATTERN)
    pool: str
    starts_at: AwareDatetime
    ends_at: AwareDatetime
    lead_minutes: float = Field(default=10.0, ge=0, le=1440)
    engines: int = Field(ge=1)

    @model_validator(mode="after")
    def _check_times(self) -> "BurstIntent":
        if self.ends_at <= self.starts_at:
            raise ValueError("ends_at must be after starts_at")
        return self


class ClaimIntent(StrictModel):
    """The nodes that store claims for requests that are not repeatable."""

    members: list[str] = Field(min_length=1, max_length=7)

    @model_validator(mode="after")
    def _check_members(self) -> "ClaimIntent":
        if len(set(self.members)) != len(self.members):
            raise ValueError(f"members must be distinct, got {self.members}")
        if len(self.members) % 2 == 0:
            raise ValueError(f"the number of members must be odd, got {len(self.members)}")
        return self


class Removal(StrictModel):
    """The names of the items to remove, by kind."""

    tenants: list[str] = Field(default_factory=list)
    workloads: list[str] = Field(default_factory=list)
    pools: list[str] = Field(default_factory=list)
    bursts: list[str] = Field(default_factory=list)


class Intent(StrictModel):
    """The content of an intent file."""

    tenants: list[TenantIntent] = Field(default_factory=list)
    workloads: list[WorkloadIntent] = Field(default_factory=list)
    pools: list[PoolIntent] = Field(default_factory=list)
    bursts: list[BurstIntent] = Field(default_factory=list)
    claims: ClaimIntent | None = None
    remove: Removal = Field(default_factory=Removal)
