"""Limits how often an entry sends what may crash upstreams.

Judgements of crashes may be late or wrong, and refusals end. What was in three
crashes, was suspected or refused is sent three times in all by all entries,
one request at a time, until it is answered. Each send needs a claim.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import enum

from burdockchute import logs
from burdockchute.decisions.crash_causes import CrashCauses
from burdockchute.decisions.crash_causes import request_cause
from burdockchute.decisions.crash_evidence import REFUSE_S
from burdockchute.decisions.tries import TRY_S
from burdockchute.model.outcomes import NotRun
from burdockchute.model.requests import RequestContext

# An outage of the store lasts for seconds, and its tries can't be counted.
STORE_AWAY_RETRY_S = 2.0


class TryResult(enum.Enum):
    """Whether an entry may try what has crashed upstreams."""

    CLAIMED = enum.auto()
    TAKEN = enum.auto()
    STORE_AWAY = enum.auto()


# A cause, and the number of its try.
Claim = tuple[str, int]
ClaimTries = Callable[[str, Sequence[str]], TryResult]


class TryLimits:
    """The limits of an entry, by what it knows of crashes.

    `claim_tries` claims a try of each of some causes over all entries, by a
    request with a fingerprint; without it, this entry is alone. `on_used_up`
    is called with a cause that is refused again after its last try, `on_over`
    with a cause and the number of a try that ended without an outcome.
    """

    def __init__(
        self,
        causes: CrashCauses,
        now: Callable[[], float],
        claim_tries: ClaimTries | None = None,
        on_used_up: Callable[[str], None] = lambda name: None,
        on_over: Callable[[str, int], None] = lambda name, number: None,
    ) -> None:
        self._causes = causes
        self._now = now
        self._claim_tries = claim_tries or self._claim_alone
        self._on_used_up = on_used_up
        self._on_over = on_over
        # The open tries of this entry, by the ids of their requests.
        self._claims: dict[str, list[Claim]] = {}
        # Until when no try can be claimed.
        self._uncounted_until = float('-inf')

    def limited_causes(
        self,
        ctx: RequestContext,
        started: bool = False,
        failed_at: Collection[str] = (),
    ) -> list[str]:
        """Return the causes of a request that may only be tried.

        The remainder of a stream that has `started` is only limited for its
        request if one of the upstreams that it `failed_at` has crashed.
        """
        if not self._causes.has_limited:
            return []
        names = [part.name for part in ctx.prompt_parts]
        if not started or self._causes.was_in_crash(
            ctx.fingerprint, failed_at
        ):
            names.insert(0, request_cause(ctx.fingerprint))
        return [name for name in names if self._causes.may_only_be_tried(name)]

    def refusal(
        self, ctx: RequestContext, limited: Sequence[str]
    ) -> NotRun | None:
        """Return why a request with limited causes can't be tried now."""
        if not limited:
            return None
        now = self._now()
        if self.are_exhausted(limited):
            self._refuse_again(limited)
            reason = 'it crashed the upstreams that ran it, and was tried'
            return NotRun(reason, 503, REFUSE_S)
        if not self._causes.may_be_tried(ctx.fingerprint, limited, now):
            reason = 'it may crash upstreams and is on trial'
            return NotRun(reason, 503, self._retry_after_s(limited))
        if now < self._uncounted_until and self._are_known(limited):
            reason = 'it may crash upstreams, and tries are not counted'
            return NotRun(reason, 503, self._uncounted_until - now)
        return None

    def claim(self, ctx: RequestContext, limited: Sequence[str]) -> bool:
        """Claim a try of a request with limited causes; false if denied.

        Without the store, parts that are only suspected are tried by each
        entry for itself: all requests with a sound one would be refused.
        """
        result = self._claim_tries(ctx.fingerprint, limited)
        is_away = result is TryResult.STORE_AWAY
        if is_away:
            self._uncounted_until = self._now() + STORE_AWAY_RETRY_S
            if not self._are_known(limited):
                result = self._claim_alone(ctx.fingerprint, limited)
        if result is TryResult.CLAIMED:
            self._claims[ctx.request_id] = [
                (name, self._causes.tries.count(name)) for name in limited
            ]
        logs.event(
            'request_tried',
            request_id=ctx.request_id,
            causes=','.join(limited),
            number=max(map(self._causes.tries.count, limited), default=0),
            result=result.name.lower(),
            store_away=is_away,
        )
        return result is TryResult.CLAIMED

    def take_claims(self, ctx: RequestContext) -> list[Claim]:
        """Return the tries of a request whose attempt has ended."""
        return self._claims.pop(ctx.request_id, [])

    def end_claims(self, claims: Iterable[Claim]) -> None:
        """End tries that are open still, so that the next one may begin."""
        for name, number in claims:
            if self._causes.tries.end(name, number):
                self._on_over(name, number)

    def _retry_after_s(self, limited: Iterable[str]) -> float:
        # A try may end at any time, and others of the cause come then.
        return min(self.open_for_s(limited) or TRY_S, TRY_S)

    def are_exhausted(self, limited: Iterable[str]) -> bool:
        """Whether one of the causes was tried as often as allowed.

        The last try may be open, and an answer to it frees the cause.
        """
        return any(map(self._is_exhausted, limited))

    def _is_exhausted(self, name: str) -> bool:
        tries = self._causes.tries
        return tries.are_used_up(name) and not tries.open_for_s(
            name, self._now()
        )

    def _are_known(self, limited: Iterable[str]) -> bool:
        return any(map(self._causes.is_known, limited))

    def open_for_s(self, limited: Iterable[str]) -> float:
        """Return for how long a try of one of the causes may be open."""
        now, tries = self._now(), self._causes.tries
        return max((tries.open_for_s(n, now) for n in limited), default=0.0)

    def _refuse_again(self, limited: Iterable[str]) -> None:
        for name in limited:
            if self._is_exhausted(name):
                self._causes.refuse(name, REFUSE_S, self._now())
                self._on_used_up(name)

    def _claim_alone(
        self, fingerprint: str, names: Sequence[str]
    ) -> TryResult:
        if not self._causes.may_be_tried(fingerprint, names, self._now()):
            return TryResult.TAKEN
        for name in names:
            number = self._causes.tries.count(name) + 1
            self._causes.tries.record(name, number, self._now())
        return TryResult.CLAIMED
