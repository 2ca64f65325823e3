"""Feeds of the platform: operators' desired state and the upstreams.

A feed is read from a position. Without a position it returns everything that
is in effect, marked `complete`; what is missing there is no longer in effect.
With a position it returns the changes since then, or everything if they
can't be determined: a store that was restored from a copy has other records
at the same offsets.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import enum
from typing import NamedTuple

from returns.result import Result

from burdockchute.model.crash_reports import LostRequest
from burdockchute.model.positions import Position
from burdockchute.model.retry_leases import LeasesHeld
from burdockchute.model.routes import Configuration
from burdockchute.model.upstreams import UpstreamListed
from burdockchute.model.upstreams import UpstreamUnlisted

TRY_PREFIX = 'try:'


class ConfigurationRead(NamedTuple):
    """A configuration that operators have saved."""

    configuration: Configuration


class VersionRead(NamedTuple):
    """The version of weights that operators want on a model's instances."""

    model: str
    version: int


class EvacuationRequested(NamedTuple):
    """Operators want nothing more sent to upstreams in a zone."""

    zone: str


class EvacuationRevoked(NamedTuple):
    """Operators have taken the evacuation of a zone back."""

    zone: str


class UnreadableRecord(NamedTuple):
    """A record without usable content; it changes nothing.

    `evacuation_zone` is set for a record of an evacuation. A full read that
    contains it does not revoke that evacuation.
    """

    key: str
    reason: str
    evacuation_zone: str = ''


class CauseRefused(NamedTuple):
    """An entry refuses a cause of crashes, since a Unix time in seconds.

    `name` is that of a request or of a part of prompts.
    """

    name: str
    at_unix: float

    @property
    def key(self) -> str:
        """The key of its record."""
        return self.name


class CrashRecorded(NamedTuple):
    """An entry lost a request in a crash, at a Unix time in seconds."""

    lost: LostRequest
    at_unix: float

    @property
    def key(self) -> str:
        """The key of its record; a saved record has the same again.

        An upstream may start, and crash, under its id more than once.
        """
        at_ms = int(self.at_unix * 1000)
        return f'crash:{self.lost.upstream}:{at_ms}:{self.lost.fingerprint}'


class CauseAnswered(NamedTuple):
    """What was in crashes was answered, at a Unix time in seconds.

    `name` is that of a request or of a part of prompts. Without `is_whole`,
    the answer had been arriving for a while, and may have ended early.
    """

    name: str
    at_unix: float
    is_whole: bool = False

    @property
    def key(self) -> str:
        """The key of its record."""
        return f'answered:{self.name}'


class TryClaimed(NamedTuple):
    """An entry tries what has crashed upstreams, at a Unix time in seconds.

    `name` is that of a request or of a part of prompts, `number` counts its
    tries from 1. With `has_ended` it has ended without an outcome.
    """

    name: str
    number: int
    at_unix: float
    has_ended: bool = False

    @property
    def key(self) -> str:
        """The key of its record."""
        return f'{TRY_PREFIX}{self.number}:{self.name}'


class RecordRemoved(NamedTuple):
    """A record is removed; if it is of a cause, that is refused no longer."""

    key: str


CrashRecord = (
    CauseRefused | CrashRecorded | CauseAnswered | TryClaimed | RecordRemoved
)


Change = (
    ConfigurationRead
    | VersionRead
    | EvacuationRequested
    | EvacuationRevoked
    | UpstreamListed
    | UpstreamUnlisted
    | CrashRecord
    | LeasesHeld
    | UnreadableRecord
)

LeaseRecord = LeasesHeld | RecordRemoved


class Batch(NamedTuple):
    """Changes in order; the next read continues at `position`."""

    position: Position
    complete: bool
    changes: tuple[Change, ...]


class FeedError(NamedTuple):
    """The platform did not answer, or refused the read.

    `expired` is whether the position is too old, so that everything has to
    be read again.
    """

    reason: str
    expired: bool = False


ReadFeed = Callable[[Position | None, float], Result[Batch, FeedError]]
ReadEnd = Callable[[], Result[Position, FeedError]]


class Feeds(NamedTuple):
    """The two feeds; a read waits up to the given seconds for a change.

    `desired_state_end` reads the position after the last record. The answer
    is short, where that of a read may be long. `store_era` returns the era
    that the store named last, 0 for none. `is_receiving` returns whether an
    answer on the desired state has begun to arrive.
    """

    desired_state: ReadFeed
    upstreams: ReadFeed
    desired_state_end: ReadEnd
    store_era: Callable[[], int] = lambda: 0
    is_receiving: Callable[[], bool] = lambda: False


class ClaimResult(enum.Enum):
    """Whether records were saved that need all earlier ones to be known.

    With UNKNOWN the platform did not answer, and may save them yet.
    """

    SAVED = enum.auto()
    OUTDATED = enum.auto()
    REFUSED = enum.auto()
    UNKNOWN = enum.auto()


class CrashRecords(NamedTuple):
    """What entries know of crashes, kept by the platform.

    `save` stores records, all or none, and returns whether the platform has
    confirmed them. `claim` stores them only if nothing was stored since the
    position of a read.
    """

    read: ReadFeed
    save: Callable[[Sequence[CrashRecord]], bool]
    claim: Callable[[Sequence[CrashRecord], Position], ClaimResult]


class RetryLeases(NamedTuple):
    """The leases of retries that entries hold, kept by the platform.

    `claim` stores records only if nothing was stored since the position of a
    read.
    """

    read: ReadFeed
    claim: Callable[[Sequence[LeaseRecord], Position], ClaimResult]
