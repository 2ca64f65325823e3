"""Requests that the router handles, and their attempts on instances."""

from __future__ import annotations

from typing import Any

from burdockchute.decisions import admission
from burdockchute.decisions import answer_ends
from burdockchute.decisions import placement
from burdockchute.decisions import statuses
from burdockchute.decisions.answer_ends import AnswerEnd
from burdockchute.decisions.answer_ends import BrokenOff
from burdockchute.decisions.fair_queue import QueuedRequest
from burdockchute.decisions.placement import Work
from burdockchute.model.requests import RequestContext
from burdockchute.nodes import links
from burdockchute.wire import messages
from burdockchute_entry.fleet import Instance
from burdockchute_entry.fleet import PinnedWeights

# Parts received ahead of sequence, as after a resumed stream, are buffered.
# More than this is not reordering but a fault of the sender.
MAX_EARLY_PARTS = 1024


class Attempt:
    """One attempt to run a request on an instance."""

    def __init__(
        self,
        attempt_id: str,
        instance: Instance,
        pinned: PinnedWeights,
        first_sequence: int,
        now: float,
    ) -> None:
        self.attempt_id = attempt_id
        self.instance = instance
        self.link: links.Link = instance.link
        self.pinned = pinned
        self.sent_at = now
        self.next_sequence = first_sequence
        self._early: dict[int, bytes] = {}

    def accept(self, part: messages.AnswerPart) -> list[bytes]:
        """Return the parts that are next in sequence; buffer early ones."""
        if part.sequence < self.next_sequence:
            return []
        if len(self._early) < MAX_EARLY_PARTS:
            self._early[part.sequence] = part.data
        ready = []
        while self.next_sequence in self._early:
            ready.append(self._early.pop(self.next_sequence))
            self.next_sequence += 1
        return ready

    def check_end(self, end: messages.AnswerEnd) -> AnswerEnd:
        """Check whether the received parts are the complete answer."""
        judged = answer_ends.judge_relayed(
            end.parts, self.next_sequence, end.error, bool(end.crashed)
        )
        if isinstance(judged, BrokenOff):
            return judged
        if not statuses.is_final(end.status):
            return BrokenOff(f'answer has status {end.status}', False)
        # The agent compares the digests too; that no answer mixes two
        # versions must not depend on a single check.
        if (end.digest, end.adapter_digest) != self.pinned:
            return BrokenOff(f'answer is from weights {end.digest!r}', False)
        return judged


class Request:
    """One request from its arrival to its final outcome."""

    def __init__(self, ctx: RequestContext, replies: Any) -> None:
        self.ctx = ctx
        self.replies = replies
        self.base = ''
        self.claim_id = ''
        self.work = Work(
            cost=admission.cost_of(ctx),
            is_long=False,
            prompt_tokens=ctx.prompt_tokens,
            prefixes=placement.truncate_prefixes(ctx.prefixes),
        )
        self.caller_gone = False
        self.is_suspect = False
        self.queue_item: QueuedRequest | None = None
        self.waiting_since = ctx.arrived
        self.attempt: Attempt | None = None
        self.attempts = 0
        self.placements = 0
        self._avoided: dict[Instance, int] = {}
        self.parts: list[bytes] = []
        self.parts_sent = 0
        self.pinned = PinnedWeights('', '')
        self.first_part_at: float | None = None

    def avoid(self, instance: Instance) -> None:
        """Exclude an instance until its next load report."""
        self._avoided[instance] = instance.report_count

    def avoids(self, instance: Instance) -> bool:
        """Whether an instance is excluded since its last load report."""
        return self._avoided.get(instance) == instance.report_count

    def may_run_again(self) -> bool:
        """Whether another attempt can yield one consistent answer.

        A request that is not idempotent must run at most once. Once the
        caller has parts of a stream, another attempt would not continue
        them.
        """
        return self.ctx.idempotent and not self.parts_sent
