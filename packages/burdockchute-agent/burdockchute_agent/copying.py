"""All copies that this instance holds or makes."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence

from gevent import queue

from burdockchute.logs import event
from burdockchute.logs import warn
from burdockchute.model.members import Member
from burdockchute.model.table import Table
from burdockchute.weights.copies import Copy
from burdockchute.weights.manifest import Manifest
from burdockchute.wire import messages
from burdockchute_agent.events import ManifestRead
from burdockchute_agent.events import OriginRead
from burdockchute_agent.origin_reads import OriginReads
from burdockchute_agent.row_switch import Target

READS_AT_ONCE = 4
RETRY_S = 0.5


class Copying:
    """Copies by digest, and what is on its way for each."""

    def __init__(
        self,
        own: Member,
        store_url: str,
        uplink: float,
        downlink: float,
        hello: Callable[[], messages.Hello],
        inbox: queue.Queue,
    ) -> None:
        self._reads = OriginReads(store_url, inbox.put)
        self._copies: dict[str, Copy | None] = {}
        self._asked: dict[str, dict[int, float]] = {}
        self._not_before: dict[str, float] = {}

    def stop(self) -> None:
        """Stop all that is under way."""
        self._reads.stop_all()

    def set_members(self, table: Table, members: Sequence[Member]) -> None:
        """Take the present rows and members."""

    def note_live_bytes(self, count: int) -> None:
        """Count bytes of live requests on this instance's link."""

    def whole_copy(self, digest: str) -> Copy | None:
        """Give a copy if every chunk of it is held and verified."""
        copy = self._copies.get(digest)
        return copy if copy is not None and copy.complete else None

    def size_of(self, digest: str) -> int:
        """Give the size of weights in bytes, 0 while it isn't known."""
        copy = self._copies.get(digest)
        return copy.manifest.size if copy else 0

    def progress(self, digest: str) -> tuple[int, int]:
        """Give how many chunks are held, and of how many."""
        copy = self._copies.get(digest)
        return (copy.held_count, len(copy.manifest.chunks)) if copy else (0, 0)

    def take(self, message: object, now: float) -> None:
        """Take a message about copies."""
        match message:
            case ManifestRead(digest=digest, outcome=outcome):
                self._manifest_read(digest, outcome, now)
            case OriginRead():
                self._chunk_read(message, now)

    def tick(self, wanted: Sequence[Target], now: float) -> None:
        """Start what is missing and give up what nobody wants."""
        digests = {target.digest for target in wanted}
        for digest in set(self._copies) - digests:
            self._give_up(digest)
        for digest in digests:
            self._ask(digest, now)

    def _give_up(self, digest: str) -> None:
        self._reads.stop(digest)
        copy = self._copies.pop(digest)
        self._asked.pop(digest, None)
        if copy is not None:
            copy.release()
        event('copy_released', digest=digest)

    def _ask(self, digest: str, now: float) -> None:
        if now < self._not_before.get(digest, 0.0):
            return
        copy = self._copies.setdefault(digest, None)
        if copy is None:
            self._reads.read_manifest(digest)
            return
        asked = self._asked.setdefault(digest, {})
        for index in range(len(copy.manifest.chunks)):
            if len(asked) >= READS_AT_ONCE:
                return
            if index not in asked and not copy.holds(index):
                asked[index] = now
                self._reads.read_chunk(copy.manifest, index)

    def _manifest_read(self, digest: str, outcome: object, now: float) -> None:
        if digest not in self._copies:
            return
        if isinstance(outcome, Manifest):
            self._copies[digest] = Copy(outcome)
            return
        self._not_before[digest] = now + RETRY_S
        warn('origin_read_failed', digest=digest, reason=outcome)

    def _chunk_read(self, read: OriginRead, now: float) -> None:
        copy = self._copies.get(read.digest)
        if copy is None:
            return
        self._asked[read.digest].pop(read.chunk, None)
        ok = isinstance(read.outcome, bytes) and copy.add(
            read.chunk, read.outcome
        )
        if not ok:
            self._not_before[read.digest] = now + RETRY_S
            warn('origin_read_failed', digest=read.digest)
