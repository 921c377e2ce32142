"""`liftrill node`."""

from pathlib import Path

import uvloop

from liftrill.node.daemon import NodeDaemon
from liftrill.node.logs import start_logging
from liftrill.node.settings import NodeSettings
from liftrill.settings_file import load_settings

REQUESTS_CUT_OFF_EXIT_CODE = 3


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

    Exits with 0 after a stop that cut off no request, 3 otherwise, 2 for wrong settings.

    :param settings: TOML file with any of the keys below; flags go first
    :param node_id: name of this node, unique among nodes
    :param region: region of this machine
    :param zone: zone of this machine
    :param listen: HOST:PORT for callers and operators
    :param peer_listen: HOST:PORT for other nodes, TCP and UDP
    :param peers: peer addresses of nodes to join through
    :param platform: URL of the platform's key-value service
    :param operator_key: bearer token of operators
    :param shared_keys: keys between nodes; the first signs, all are accepted
    :param cache_secret: key of the cache salts, the same on every node
    :param policy: routing policy by name
    :param drain_grace_seconds: how long a stop waits for requests in flight
    """
    flags = {key: value for key, value in locals().items() if key != "settings"}
    checked = load_settings(NodeSettings, settings, flags)
    start_logging()
    clean = uvloop.run(NodeDaemon(checked).run())
    return 0 if clean else REQUESTS_CUT_OFF_EXIT_CODE
