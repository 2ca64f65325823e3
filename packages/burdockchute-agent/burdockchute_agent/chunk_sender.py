"""Sends chunks to the peers that request them."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping

from burdockchute.nodes.peers import PeerLink
from burdockchute.weights.copies import Copy
from burdockchute.weights.manifest import serialize_manifest
from burdockchute.wire import messages
from burdockchute_agent.bandwidth import Bandwidth
from burdockchute_agent.origin_schedule import MANIFEST_INDEX
from burdockchute_agent.upload_queue import Upload
from burdockchute_agent.upload_queue import UploadQueue
from burdockchute_agent.weights_metrics import WeightsMetrics

# Requests are refused above this limit, which a peer reaches if it reads more
# slowly than it requests.
MAX_PEER_QUEUE_BYTES = 4 * 1024 * 1024
RETRY_MS = 1000

# Bytes that may wait to be written on paced links, over all peers: enough for
# the next chunk to follow without a gap, and so little that no chunk waits
# long behind others.
MAX_PACED_QUEUE_BYTES = 64 * 1024


class ChunkSender:
    """Sends the chunks of all copies within the uplink's budget."""

    def __init__(
        self,
        links: Mapping[str, PeerLink],
        copy_of: Callable[[str], Copy | None],
        bandwidth: Bandwidth,
        metrics: WeightsMetrics,
        paced: bool = False,
    ) -> None:
        self._paced = paced
        self._links = links
        self._copy_of = copy_of
        self._bandwidth = bandwidth
        self._metrics = metrics
        self._uploads = UploadQueue()

    def __len__(self) -> int:
        return len(self._uploads)

    def handle_request(
        self, peer: PeerLink, request: messages.ChunkRequest
    ) -> None:
        """Queue a chunk for a peer, or refuse it with a reason.

        The manifest is sent at once. The reason is `unknown` for a chunk
        that isn't held and `busy` for a full queue.
        """
        digest, index = request.digest, request.index
        copy = self._copy_of(digest)
        if copy is None or (
            index != MANIFEST_INDEX and not copy.has_chunk(index)
        ):
            peer.send(_refusal(digest, index, 'unknown', RETRY_MS))
        elif index == MANIFEST_INDEX:
            document = serialize_manifest(copy.manifest)
            peer.send(messages.Chunk(digest, index, document, '', 0))
        elif not self._uploads.add(Upload(peer.name, digest, index)):
            waiting = len(self._uploads) * copy.manifest.chunk_size
            wait_s = waiting / self._bandwidth.send_rate / 2
            peer.send(_refusal(digest, index, 'busy', int(wait_s * 1000)))

    def send_due(self, now: float) -> float | None:
        """Send what the uplink allows.

        Return the seconds until more may be sent, None if there is no time
        to wait for.
        """
        while self._has_room(now):
            upload = self._uploads.next()
            if upload is None:
                return None
            self._send(upload)
        # On paced links the next tick sends what is queued. No wait follows
        # from the uplink's budget, which may have room all the time while a
        # peer reads nothing.
        if self._paced or not len(self._uploads):
            return None
        return self._bandwidth.send_wait_s()

    def _has_room(self, now: float) -> bool:
        if not self._paced:
            return self._bandwidth.can_send
        # Data queued for peers behind slow links must not block the others.
        queued = sum(
            peer.link.queued_bytes
            for peer in self._links.values()
            if not peer.link.is_slow(now)
        )
        return queued < MAX_PACED_QUEUE_BYTES

    def remove_peer(self, name: str) -> None:
        """Drop the uploads to a disconnected peer."""
        self._uploads.remove_peer(name)

    def remove_digest(self, digest: str) -> None:
        """Drop and refuse all uploads of a digest that is no longer held."""
        for upload in self._uploads.remove_digest(digest):
            peer = self._links.get(upload.peer)
            if peer is not None:
                peer.send(_refusal(digest, upload.chunk, 'unknown', RETRY_MS))

    def _send(self, upload: Upload) -> None:
        peer = self._links.get(upload.peer)
        copy = self._copy_of(upload.digest)
        data = copy.chunk(upload.chunk) if copy else None
        if peer is None or data is None:
            return
        if peer.link.queued_bytes > MAX_PEER_QUEUE_BYTES:
            peer.send(_refusal(upload.digest, upload.chunk, 'busy', RETRY_MS))
            return
        if not self._paced:
            self._bandwidth.consume_uplink(len(data))
        self._metrics.sent(len(data))
        peer.send(messages.Chunk(upload.digest, upload.chunk, data, '', 0))


def _refusal(
    digest: str, chunk: int, reason: str, retry_ms: int
) -> messages.Chunk:
    return messages.Chunk(digest, chunk, b'', reason, retry_ms)
