"""Header names of HTTP itself, and headers that no code reads."""

from collections.abc import Callable, Collection, Iterable

from multidict import MultiMapping

# Headers that apply to one connection and are not forwarded.
CONNECTION_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)
# Names of unread headers that are told apart; a back end may send any number.
MAX_UNREAD_NAMES = 64


def kept_headers(
    headers: MultiMapping[str], dropped: Collection[str]
) -> tuple[tuple[str, str], ...]:
    """Return the headers in order, without those whose lower-case names are dropped."""
    return tuple((name, value) for name, value in headers.items() if name.lower() not in dropped)


class UnreadHeaders:
    """Reports headers of back ends that belong to known families and are not read.

    A back end may announce in such a header what a node has to take into account.
    """

    def __init__(
        self, families: tuple[str, ...], read: Collection[str], report: Callable[[str], None]
    ) -> None:
        self._families = families
        self._read = read
        self._report = report
        self._known: set[str] = set()

    def check(self, names: Iterable[str]) -> None:
        """Report each unread name once."""
        for name in map(str.lower, names):
            if not name.startswith(self._families) or name in self._read or name in self._known:
                continue
            if len(self._known) < MAX_UNREAD_NAMES:
                self._known.add(name)
                self._report(name)


def end_to_end_headers(
    headers: MultiMapping[str], dropped: frozenset[str]
) -> tuple[tuple[str, str], ...]:
    """Return headers without those of their connection, which it may name, and others."""
    options = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    return kept_headers(headers, CONNECTION_HEADERS | dropped | options)
