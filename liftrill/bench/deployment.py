"""Deployment files, which describe the processes to launch and the load to send."""

from pathlib import Path

from pydantic import Field

from liftrill.settings_file import StrictModel, load_settings

DEPLOYMENTS_DIRECTORY = Path(__file__).resolve().parent.parent.parent / "deployments"


class EngineSpecification(StrictModel):
    """Cost model of the emulated engines of a pool; see docs/EMULATOR.md."""

    memory_blocks: int = Field(gt=0)
    prefill_tokens_per_second: float = Field(gt=0)
    step_base_seconds: float = Field(gt=0)
    maximum_running: int = Field(gt=0)
    idle_eviction_seconds: float = Field(gt=0)


class PoolSpecification(StrictModel):
    """A pool of engines that serve one model."""

    name: str
    model: str
    weight_version: str
    engines: int = Field(gt=0)
    engine: EngineSpecification


class WorkloadSpecification(StrictModel):
    """A kind of request in the load.

    Attributes:
        share: weight of the workload in the choice between all workloads.
        hot_prefixes: number of shared prefixes in use at a time, for each tenant.
        prefix_tokens: length of a shared prefix.
        unique_tokens: mean length of the prompt after the shared prefix.
        prefix_group: group of workloads that use the same prefixes.
        same_for_all_tenants: whether all tenants use the same prefix texts; their cached
            blocks must still be separate.
    """

    name: str
    model: str
    priority: int = Field(ge=0, le=9)
    deadline_milliseconds: int = Field(gt=0)
    share: float = Field(gt=0)
    hot_prefixes: int = Field(gt=0)
    prefix_tokens: int = Field(ge=0)
    unique_tokens: int = Field(gt=0)
    output_tokens: int = Field(gt=0)
    streamed: bool = True
    repeatable: bool = True
    prefix_group: str
    same_for_all_tenants: bool = False


class LoadSpecification(StrictModel):
    """The default load of `liftrill demo` and rate of the fault tests."""

    requests_per_second: float = Field(gt=0)
    seconds: float = Field(gt=0)


class Deployment(StrictModel):
    """A deployment file.

    Attributes:
        nodes: number of nodes, one for each application process, distributed over the zones.
        large_tenants: number of tenants that send `large_tenant_weight` times as many
            requests as the others.
    """

    name: str
    region: str
    zones: list[str] = Field(min_length=1)
    one_way_milliseconds_between_zones: float = Field(ge=0)
    one_way_milliseconds_to_clients: float = Field(ge=0)
    application: str
    nodes: int = Field(gt=0)
    kept_store: str
    kept_store_blocks: int = Field(gt=0)
    tenants: int = Field(gt=0)
    large_tenants: int = Field(ge=0)
    large_tenant_weight: float = Field(gt=0)
    pools: list[PoolSpecification] = Field(min_length=1)
    workloads: list[WorkloadSpecification] = Field(min_length=1)
    load: LoadSpecification


def load_deployment(name: str) -> Deployment:
    """Load a deployment by its name under `deployments/`, or by the path of its file.

    Raises:
        SettingsError: the file does not exist or is invalid.
    """
    path = Path(name)
    if not path.suffix:
        path = DEPLOYMENTS_DIRECTORY / f"{name}.toml"
    return load_settings(Deployment, path)


def tenant_names(deployment: Deployment) -> list[str]:
    """Return the names of the tenants; the large tenants are first."""
    return [f"tenant-{number}" for number in range(1, deployment.tenants + 1)]


def api_key(tenant: str) -> str:
    """Return the API key that the launcher configures for a tenant."""
    return f"key-of-{tenant}"


def intent_of(deployment: Deployment, claim_members: list[str]) -> dict[str, object]:
    """Return the operator intent that configures a deployment."""
    return {
        "tenants": [
            {"name": name, "api_keys": [api_key(name)]} for name in tenant_names(deployment)
        ],
        "workloads": [
            {
                "name": workload.name,
                "model": workload.model,
                "priority": workload.priority,
                "deadline_milliseconds": workload.deadline_milliseconds,
            }
            for workload in deployment.workloads
        ],
        "pools": [
            {"name": pool.name, "model": pool.model, "weight_version": pool.weight_version}
            for pool in deployment.pools
        ],
        "claims": {"members": claim_members},
    }
