"""Scenario files, which describe load and faults of a simulated deployment over time."""

import itertools
from pathlib import Path

from pydantic import Field, model_validator

from liftrill.bench.deployment import Deployment, load_deployment
from liftrill.settings_file import StrictModel, load_settings

SCENARIOS_DIRECTORY = Path(__file__).resolve().parent.parent.parent.parent / "scenarios"


class RatePoint(StrictModel):
    """The arrival rate at a time; rates between two points are interpolated linearly."""

    at_seconds: float = Field(ge=0)
    requests_per_second: float = Field(ge=0)


class EngineCrash(StrictModel):
    """A crash of an engine, which restarts at once with an empty cache.

    Attributes:
        engine: index of the engine, modulo the number of engines.
    """

    at_seconds: float = Field(ge=0)
    engine: int = Field(ge=0)


class Scenario(StrictModel):
    """A scenario file; unknown keys are refused.

    Attributes:
        deployment: name or path of a deployment file; see `load_deployment`.
        seconds: duration of the arrivals.
        warm_up_seconds: time before which arriving requests are excluded from the metrics.
        rate: points of the arrival rate over time.
        scale: factor for the numbers of nodes, engines and tenants and for the rates.
        prefix_shift_seconds: times at which all hot prefixes are replaced.
        engine_crashes: crashes of engines.
        event_loss_share: share of the cache events that are lost.
        node_restart_seconds: times at which all nodes restart with empty state.
        report_lag_seconds: age of the load reports of the engines.
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
            raise ValueError("rate points must be ordered by at_seconds")
        return self

    def rate_at(self, seconds: float) -> float:
        """Return the arrival rate at a time, in requests per second."""
        points = self.rate
        if seconds <= points[0].at_seconds:
            return points[0].requests_per_second * self.scale
        for before, after in itertools.pairwise(points):
            if seconds <= after.at_seconds:
                fraction = (seconds - before.at_seconds) / (after.at_seconds - before.at_seconds)
                increase = after.requests_per_second - before.requests_per_second
                return (before.requests_per_second + fraction * increase) * self.scale
        return points[-1].requests_per_second * self.scale

    @property
    def highest_rate(self) -> float:
        """The highest arrival rate, in requests per second."""
        return max(point.requests_per_second for point in self.rate) * self.scale

    def prefix_epoch(self, seconds: float) -> int:
        """Return the number of times the hot prefixes have been replaced up to a time."""
        return sum(1 for shift in self.prefix_shift_seconds if shift <= seconds)

    def scaled_deployment(self) -> Deployment:
        """Load the deployment and multiply its sizes by the scale of the scenario."""
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
    """Load a scenario by its name under `scenarios/`, or by the path of its file.

    Raises:
        SettingsError: the file does not exist or is invalid.
    """
    path = Path(name)
    if not path.suffix:
        path = SCENARIOS_DIRECTORY / f"{name}.toml"
    return load_settings(Scenario, path)
