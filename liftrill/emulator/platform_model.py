"""Sans-IO model of the platform's key-value store, with compare-and-swap and leases."""

from collections.abc import Iterator
from dataclasses import dataclass

from liftrill.coordination.key_value_store import MachineEntry, StoredEntry


@dataclass(slots=True)
class Session:
    """A lease, which expires unless it is renewed within its time to live."""

    session_id: str
    time_to_live_seconds: float
    expires_at: float


class PlatformModel:
    """The entries, sessions and machine list. Times are seconds on any monotonic clock."""

    def __init__(self) -> None:
        self._entries: dict[str, StoredEntry] = {}
        self._sessions: dict[str, Session] = {}
        self._session_count = 0
        self._machines: dict[str, MachineEntry] = {}
        self.revision = 0

    def get(self, key: str, now: float) -> StoredEntry | None:
        """Return the entry of a key, or None if it does not exist."""
        self._expire_sessions(now)
        return self._entries.get(key)

    def compare_and_swap(self, key: str, value: bytes, revision: int) -> bool:
        """Write a value if its key is at a revision, where 0 stands for a missing key."""
        current = self._entries.get(key)
        if (current.revision if current else 0) != revision:
            return False
        self._write(key, value, current.session if current else "")
        return True

    def create_session(self, time_to_live_seconds: float, now: float) -> str:
        """Create a lease and return its id."""
        self._session_count += 1
        session_id = f"session-{self._session_count}"
        expires_at = now + time_to_live_seconds
        self._sessions[session_id] = Session(session_id, time_to_live_seconds, expires_at)
        return session_id

    def renew_session(self, session_id: str, now: float) -> bool:
        """Renew a lease; return False if it has expired."""
        self._expire_sessions(now)
        session = self._sessions.get(session_id)
        if session is None:
            return False
        session.expires_at = now + session.time_to_live_seconds
        return True

    def acquire(self, key: str, value: bytes, session_id: str, now: float) -> bool:
        """Acquire a key for a lease and write its value, unless another lease holds the key."""
        self._expire_sessions(now)
        if session_id not in self._sessions:
            return False
        current = self._entries.get(key)
        if current is not None and current.session not in ("", session_id):
            return False
        self._write(key, value, session_id)
        return True

    def register_machine(self, machine: MachineEntry) -> None:
        """Add a machine to the list, or replace its entry."""
        self._machines[machine.machine_id] = machine

    def remove_machine(self, machine_id: str) -> None:
        """Remove a machine from the list, if it is there."""
        self._machines.pop(machine_id, None)

    def machines(self) -> Iterator[MachineEntry]:
        """Return all entries of the machine list."""
        return iter(list(self._machines.values()))

    def snapshot(self) -> dict[str, StoredEntry]:
        """Return a copy of all entries, for a later `restore`."""
        return dict(self._entries)

    def restore(self, entries: dict[str, StoredEntry]) -> None:
        """Replace all entries by an earlier copy, like a store restored from a backup."""
        self._entries = dict(entries)

    def _write(self, key: str, value: bytes, session: str) -> None:
        self.revision += 1
        self._entries[key] = StoredEntry(key, value, self.revision, session)

    def _expire_sessions(self, now: float) -> None:
        expired = [s.session_id for s in self._sessions.values() if s.expires_at <= now]
        for session_id in expired:
            del self._sessions[session_id]
            self._release_keys(session_id)

    def _release_keys(self, session_id: str) -> None:
        for key, entry in list(self._entries.items()):
            if entry.session == session_id:
                self._write(key, entry.value, "")
