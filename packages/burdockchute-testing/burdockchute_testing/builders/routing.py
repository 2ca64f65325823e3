"""A router whose agents are driven by the test."""

from __future__ import annotations

import random
from typing import Any

from gevent import queue

from burdockchute.model.changes import TableChanged
from burdockchute.model.outcomes import Outcome
from burdockchute.model.replies import Done
from burdockchute.model.replies import Part
from burdockchute.model.replies import Submit
from burdockchute.model.requests import RequestContext
from burdockchute.model.table import Table
from burdockchute.nodes import links
from burdockchute.wire import messages
from burdockchute_entry.router import Router


class FakeLink:
    """The entry's end of a link, which records the messages sent on it."""

    def __init__(self, name: str, role: str = 'agent') -> None:
        self.peer = messages.Hello(name, role, 'z', 'r', 'i', -1, 1)
        self.closed_reason = ''
        self.sent: list[Any] = []

    def send(self, message: Any) -> None:
        """Record a message; raises LinkError once closed."""
        if self.closed_reason:
            raise links.LinkError(self.closed_reason)
        self.sent.append(message)

    def dispatched(self) -> list[messages.Dispatch]:
        """Return the requests that were dispatched to this agent."""
        return [m for m in self.sent if isinstance(m, messages.Dispatch)]


class RouterTestBench:
    """A router on a clock that the test sets."""

    def __init__(self, table: Table, **options: Any) -> None:
        self.now = 100.0
        self.finished: list[Any] = []
        self.crashes: list[Any] = []
        self.router = Router(
            lambda: self.now,
            random.Random(1),
            observe=self.finished.append,
            crash=self.crashes.append,
            **options,
        )
        self.router.handle(TableChanged(table))
        self.replies: dict[str, queue.Queue] = {}

    def agent(self, name: str, **changes: Any) -> FakeLink:
        """Connect an agent that has sent a load report."""
        link: Any = FakeLink(name)
        self.router.handle(links.Opened(link))
        self.report(link, **changes)
        return link

    def report(self, link: Any, **changes: Any) -> None:
        """Receive a load report from an agent."""
        self.receive(link, load_report(link.peer.name, **changes))

    def receive(self, link: Any, message: Any) -> None:
        """Receive a message on a link."""
        self.router.handle(links.Received(link, message))

    def close(self, link: Any, reason: str = 'silent') -> None:
        """Close a link."""
        link.closed_reason = reason
        self.router.handle(links.Closed(link, reason))

    def submit(self, ctx: RequestContext) -> str:
        """Submit a request, with its times counted from now; return its id."""
        ctx = ctx._replace(arrived=self.now, deadline=self.now + ctx.deadline)
        replies: queue.Queue = queue.Queue()
        self.replies[ctx.request_id] = replies
        self.router.handle(Submit(ctx, replies))
        return ctx.request_id

    def answer(
        self, link: Any, request_id: str, parts: int = 1, **changes: Any
    ) -> None:
        """Receive the complete answer of a request from an agent."""
        dispatch = [
            d for d in link.dispatched() if d.request_id == request_id
        ][-1]
        for sequence in range(parts):
            data = b'%s-%d' % (request_id.encode(), sequence)
            self.receive(link, messages.AnswerPart(request_id, sequence, data))
        end: dict[str, Any] = {
            'parts': parts,
            'status': 200,
            'content_type': 'text/event-stream',
            'digest': dispatch.digest,
            'adapter_digest': dispatch.adapter_digest,
            'error': '',
            'crashed': False,
        }
        end.update(changes)
        self.receive(link, messages.AnswerEnd(request_id, **end))

    def fail_request(
        self, link: Any, request_id: str, crashed: bool = False
    ) -> None:
        """Receive the failure of a dispatched request from an agent."""
        self.receive(
            link,
            messages.AnswerEnd(
                request_id, 0, 0, '', '', '', 'broken off', crashed
            ),
        )

    def advance(self, seconds: float) -> None:
        """Advance the clock and run a tick of the router."""
        self.now += seconds
        self.router.tick()

    def outcome(self, request_id: str) -> Outcome | None:
        """Return the final outcome, None until there is one."""
        for reply in self.replies_to(request_id):
            if isinstance(reply, Done):
                return reply.outcome
        return None

    def parts(self, request_id: str) -> list[bytes]:
        """Return the parts that reached the caller."""
        return [
            r.data for r in self.replies_to(request_id) if isinstance(r, Part)
        ]

    def replies_to(self, request_id: str) -> list[Any]:
        """Return all replies to a request so far."""
        return list(self.replies[request_id].queue)


def load_report(name: str, **changes: Any) -> messages.LoadReport:
    """Return a report of an idle instance with story and proofs open."""
    opened = changes.pop('opened', {'model/story': ['d1']})
    fields: dict[str, Any] = {
        'running': 0,
        'waiting': 0,
        'slots': 4,
        'tokens_per_s': 0.0,
        'leaving': False,
        'weights': [
            messages.WeightsState(row, digest, 'open', 1, 1)
            for row, digests in opened.items()
            for digest in digests
        ],
        'services': ['proofs'],
        'prefixes': [],
        'table_offset': 1,
        'prefill_tokens_per_s': 1000,
    }
    fields.update(changes)
    return messages.LoadReport(name, **fields)
