"""State that is shared by the services of a node."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from liftrill.cache.tokenizer import FixedWidthTokenizer, Tokenizer
from liftrill.coordination.configuration import ConfigurationReplica
from liftrill.coordination.membership import Membership
from liftrill.messages import configuration_pb2 as messages
from liftrill.node.dispatcher import Dispatcher
from liftrill.node.metrics import NodeMetrics
from liftrill.node.open_requests import OpenRequests
from liftrill.node.request_runner import RequestRunner
from liftrill.node.settings import NodeSettings
from liftrill.planning.plan import Plan
from liftrill.planning.sections import ConfigurationView
from liftrill.routing.admission import AdmissionController
from liftrill.routing.engine_records import EngineRecords
from liftrill.routing.engine_state import EngineTable
from liftrill.routing.router import Router


@dataclass(slots=True)
class NodeContext:
    """State that is shared by the API handlers and the background tasks of a node.

    Attributes:
        head: the message of the head in force, with its confirmations.
        view: the configuration in force, indexed for lookups.
        plans: the plans made on this node, which can be confirmed here, by id, oldest first.
        draining: whether a graceful shutdown has started.
    """

    settings: NodeSettings
    metrics: NodeMetrics
    engines: EngineTable
    admission: AdmissionController
    router: Router
    dispatcher: Dispatcher
    runner: RequestRunner
    open_requests: OpenRequests
    membership: Membership
    records: EngineRecords
    replica: ConfigurationReplica = field(default_factory=ConfigurationReplica)
    head: messages.Head = field(default_factory=messages.Head)
    view: ConfigurationView = field(default_factory=ConfigurationView)
    plans: dict[str, Plan] = field(default_factory=dict)
    tokenizer: Tokenizer = field(default_factory=FixedWidthTokenizer)
    draining: bool = False

    def unready_reason(self) -> str | None:
        """Return the reason why the node is not ready, or None if it is ready."""
        if self.draining:
            return "draining"
        if self.view.generation == 0:
            return "no configuration"
        if not any(engine.identity is not None for engine in self.engines):
            return "no engine has answered"
        return None

    def engines_by_pool(self) -> Mapping[str, int]:
        """Return the number of known engines by pool."""
        counts: dict[str, int] = {}
        for engine in self.engines:
            counts[engine.pool] = counts.get(engine.pool, 0) + 1
        return counts
