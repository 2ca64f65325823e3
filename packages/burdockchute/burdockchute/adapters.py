"""The interface between this package and the protocol of a platform.

An adapter only translates. The setting `platform` names it, and it is loaded
from the entry points of the group `burdockchute.adapters`. A process without
that setting uses this project's own protocol.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from importlib import metadata
from typing import NamedTuple
from typing import Protocol

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from burdockchute.model.engines import CallFailed
from burdockchute.model.engines import EngineReport
from burdockchute.model.engines import LoadOrder
from burdockchute.model.engines import OrderOutcome
from burdockchute.model.exchanges import AnswerHead
from burdockchute.model.exchanges import ForwardedRequest
from burdockchute.model.exchanges import InboundRequest
from burdockchute.model.feeds import CrashRecords
from burdockchute.model.feeds import Feeds
from burdockchute.model.feeds import RetryLeases
from burdockchute.model.findings import Finding
from burdockchute.model.findings import not_one_of
from burdockchute.model.machines import Machine
from burdockchute.model.upstreams import Endpoint
from burdockchute.weights.manifest import Manifest

ENTRY_POINT_GROUP = 'burdockchute.adapters'

HeaderList = Iterable[tuple[str, str]]


class Engine(Protocol):
    """The engine on the same machine; each call waits for its answer."""

    def report(self) -> Result[EngineReport, CallFailed]:
        """Read the state of the engine."""

    def load(self, order: LoadOrder) -> OrderOutcome:
        """Order the engine to load the staged weights."""

    def staged(self, model: str, index: int) -> Result[bytes, CallFailed]:
        """Read one staged chunk."""

    def stage(
        self, model: str, index: int, data: bytes
    ) -> Result[bytes, CallFailed]:
        """Replace one staged chunk."""


class Origin(Protocol):
    """The service that weights are downloaded from."""

    def manifest(
        self, model: str, version: int, digest: str
    ) -> Result[Manifest, CallFailed]:
        """Read the manifest of a version, which lists its chunks."""

    def chunk(
        self, model: str, version: int, index: int
    ) -> Result[bytes, CallFailed]:
        """Read one chunk."""

    def close(self) -> None:
        """Close all connections."""


class Adapter(NamedTuple):
    """The adapter of one platform.

    `read_machine` reads the settings file at a path. `decode_request` raises
    ValueError for a malformed header. `encode_health_check` returns a health
    check at a path, which is meant for one instance. `event_version` returns
    the version of weights to which a stream changes with an event, None if it
    doesn't. `member_names` has the member of the settings file for each field
    of a machine that only some processes need.
    """

    read_machine: Callable[[str], Result[Machine, list[Finding]]]
    open_feeds: Callable[[Endpoint], Feeds]
    open_crash_records: Callable[[Endpoint], CrashRecords]
    open_retry_leases: Callable[[Endpoint], RetryLeases]
    decode_request: Callable[[str, str, HeaderList], InboundRequest]
    encode_request: Callable[[InboundRequest, ForwardedRequest], bytes]
    encode_health_check: Callable[[str, str], bytes]
    decode_answer: Callable[[int, HeaderList], AnswerHead]
    event_version: Callable[[bytes], int | None]
    engine: Callable[[Endpoint], Engine]
    origin: Callable[[Endpoint], Origin]
    endpoint: Callable[[str], Endpoint]
    request_id_header: str
    member_names: Mapping[str, str]


def load_adapter(name: str) -> Result[Adapter, Finding]:
    """Load the adapter of that name from the installed packages."""
    found = {
        point.name: point
        for point in metadata.entry_points(group=ENTRY_POINT_GROUP)
    }
    if name not in found:
        text = not_one_of(name, found) if found else f'no adapter {name!r}'
        return Failure(Finding('platform', text))
    return Success(found[name].load())
