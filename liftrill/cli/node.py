"""`liftrill node`: runs a node."""

from pathlib import Path

import uvloop

from liftrill.node.daemon import NodeDaemon
from liftrill.node.logs import start_logging
from liftrill.node.settings import NodeSettings
from liftrill.settings_file import load_settings

REQUESTS_INTERRUPTED_EXIT_CODE = 3


def node(
    *,
    settings: Path | None = None,
    node_id: str | None = None,
    region: str | None = None,
    zone: str | None = None,
    listen: str | None = None,
    peer_listen: str | None = None,
    peers: list[str] | None = None,
    platform: str | None = None,
    operator_key: str | None = None,
    shared_keys: list[str] | None = None,
    cache_secret: str | None = None,
    policy: str | None = None,
    drain_grace_seconds: float | None = None,
) -> int:
    """Run a node until SIGTERM or SIGINT.

    Exits with 0 if the stop interrupted no request, 3 if it did, and 2 for invalid settings.

    :param settings: TOML file with any of the keys below; flags override it
    :param node_id: unique name of this node
    :param region: region of this machine
    :param zone: zone of this machine
    :param listen: HOST:PORT for callers and operators
    :param peer_listen: HOST:PORT for other nodes, TCP and UDP
    :param peers: peer addresses of nodes through which this node joins
    :param platform: URL of the platform's key-value store
    :param operator_key: bearer token of operators
    :param shared_keys: keys that authenticate nodes; the first signs, all are accepted
    :param cache_secret: secret from which cache salts are derived, the same on every node
    :param policy: name of the routing policy
    :param drain_grace_seconds: maximum time that a stop waits for requests in flight
    """
    flags = {key: value for key, value in locals().items() if key != "settings"}
    checked_settings = load_settings(NodeSettings, settings, flags)
    start_logging()
    clean = uvloop.run(NodeDaemon(checked_settings).run())
    return 0 if clean else REQUESTS_INTERRUPTED_EXIT_CODE
