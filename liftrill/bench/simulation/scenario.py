"""Scenario files: what happens to a deployment over time. Unknown keys are refused."""

import itertools
from pathlib import Path

from pydantic import Field, model_validator

from liftrill.bench.deployment import Deployment, load_deployment
from liftrill.settings_file import StrictModel, load_settings

SCENARIOS_DIRECTORY = Path(__file__).resolve().parent.parent.parent.parent / "scenarios"


class RatePoint(StrictModel):
    """The arrival rate at a time; between points it is interpolated linearly."""

    at_seconds: float = Field(ge=0)
    requests_per_second: float = Field(ge=0)


class EngineCrash(StrictModel):
    """An engine loses everything and comes back empty at once."""

    at_seconds: float = Field(ge=0)
    engine: int = Field(ge=0)


class Scenario(StrictModel):
    """A scenario.

    Attributes:
        deployment: name of a file under deployments/.
        seconds: duration of the arrivals.
        warm_up_seconds: requests that arrive earlier are not counted.
        rate: arrival rate over time.
        scale: multiplies nodes, engines, tenants and rates.
        prefix_shift_seconds: times at which all hot prefixes are replaced by new ones.
        engine_crashes: engines that crash.
        event_loss_share: share of cache events that are lost.
        node_restart_seconds: times at which every node restarts and knows nothing.
        report_lag_seconds: age of the engines' load reports.
    """

    name: str
    description: str
    deployment: str
    seconds: float = Field(gt=0)
    warm_up_seconds: float = Field(default=0.0, ge=0)
    rate: list[RatePoint] = Field(min_length=1)
    scale: int = Field(default=1, ge=1, le=100)
    prefix_shift_seconds: list[float] = Field(default_factory=list)
    engine_crashes: list[EngineCrash] = Field(default_factory=list)
    event_loss_share: float = Field(default=0.01, ge=0, le=1)
    node_restart_seconds: list[float] = Field(default_factory=list)
    report_lag_seconds: float = Field(default=0.5, ge=0)

    @model_validator(mode="after")
    def _check_order(self) -> "Scenario":
        times = [point.at_seconds for point in self.rate]
        if times != sorted(times):
            raise ValueError("rate points must be in order of time")
        return self

    def rate_at(self, seconds: float) -> float:
        """Return the arrival rate at a time, in requests per second."""
        points = self.rate
        if seconds <= points[0].at_seconds:
            return points[0].requests_per_second * self.scale
        for before, after in itertools.pairwise(points):
            if seconds <= after.at_seconds:
                part = (seconds - before.at_seconds) / (after.at_seconds - before.at_seconds)
                rise = after.requests_per_second - before.requests_per_second
                return (before.requests_per_second + part * rise) * self.scale
        return points[-1].requests_per_second * self.scale

    @property
    def highest_rate(self) -> float:
        """The highest arrival rate."""
        return max(point.requests_per_second for point in self.rate) * self.scale

    def prefix_epoch(self, seconds: float) -> int:
        """Return how often the hot prefixes have been replaced by a time."""
        return sum(1 for shift in self.prefix_shift_seconds if shift <= seconds)

    def scaled_deployment(self) -> Deployment:
        """Return the deployment at the scenario's scale."""
        deployment = load_deployment(self.deployment)
        if self.scale == 1:
            return deployment
        pools = [
            pool.model_copy(update={"engines": pool.engines * self.scale})
            for pool in deployment.pools
        ]
        return deployment.model_copy(
            update={
                "pools": pools,
                "nodes": deployment.nodes * self.scale,
                "tenants": deployment.tenants * self.scale,
                "large_tenants": deployment.large_tenants * self.scale,
            }
        )


def load_scenario(name: str) -> Scenario:
    """Return a scenario by its name under `scenarios/`, or by the path of its file.

    Raises:
        SettingsError: there is no such file, or it is wrong.
    """
    path = Path(name)
    if not path.suffix:
        path = SCENARIOS_DIRECTORY / f"{name}.toml"
    return load_settings(Scenario, path)
