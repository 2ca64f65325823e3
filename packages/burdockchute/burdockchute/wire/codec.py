"""Encode and decode messages.

>>> from burdockchute.wire.gen.burdockchute import ttypes
>>> decode(encode(ttypes.Cancel(request_id='r1'))).request_id
'r1'
"""

from __future__ import annotations

from collections.abc import Callable
import math
from typing import Any

from thrift.protocol import TBinaryProtocol
from thrift.Thrift import TType
from thrift.transport import TTransport

from burdockchute.wire.gen.burdockchute import ttypes

MAX_FRAME_BYTES = 16 * 1024 * 1024

# An empty struct has one byte on the wire and over a hundred in memory. The
# longest lists have an element for each row or instance.
MAX_ELEMENTS = 100_000


# Members whose absence has a meaning of its own.
MAY_BE_UNSET = {
    ttypes.Hello: {'store_queries'},
    ttypes.AnswerEnd: {'running'},
    ttypes.WishesNews: {'needs'},
    ttypes.CrashNews: {
        'parts',
        'ran_ms',
        'started_ms',
        'late_parts',
        'whole',
    },
    ttypes.PromptPart: {'answered'},
    ttypes.LoadReport: {
        'closes_in_ms',
        'named',
        'opens_in_ms',
        'configuration',
        'slowness',
        'memory_free',
        'unverified',
        'engine_started_ms',
    },
    ttypes.TableDelta: {'forgotten', 'age_ms'},
}


class WireError(Exception):
    """The bytes are not a valid message."""


def encode(message: Any) -> bytes:
    """Return the bytes of a message, wrapped in an envelope."""
    field = _FIELD_OF_TYPE[type(message)]
    envelope = ttypes.Envelope(**{field: message})
    buffer = TTransport.TMemoryBuffer()
    protocol = TBinaryProtocol.TBinaryProtocolAccelerated(buffer)
    envelope.write(protocol)
    return buffer.getvalue()


def decode(data: bytes) -> Any:
    """Return the message in a frame; raises WireError if it is invalid.

    A member that is missing, or of another type than here, has the empty value
    of its type, as in other languages' thrift. A release that lacks a member
    can so be linked, and readers need not expect None.
    """
    envelope = ttypes.Envelope()
    transport = TTransport.TBufferedTransport(
        TTransport.TMemoryBuffer(data), len(data)
    )
    protocol = TBinaryProtocol.TBinaryProtocolAccelerated(
        transport,
        string_length_limit=MAX_FRAME_BYTES,
        container_length_limit=MAX_ELEMENTS,
    )
    try:
        envelope.read(protocol)
    except Exception as exc:
        # The accelerated decoder raises several unrelated types for invalid
        # bytes; callers handle all of them alike.
        raise WireError(f'not a message: {exc!r}') from exc
    for field in _FIELDS:
        message = getattr(envelope, field)
        if message is not None:
            _complete(message)
            return message
    raise WireError('envelope has no known message')


def _complete(message: Any) -> None:
    kind = type(message)
    if kind not in _MEMBERS:
        _MEMBERS[kind] = _members(kind)
    for name, make, check in _MEMBERS[kind]:
        value = getattr(message, name)
        if value is None:
            setattr(message, name, make())
        elif check is not None:
            check(value)


_Member = tuple[str, Callable[[], Any], Callable[[Any], None] | None]

_MEMBERS: dict[type, tuple[_Member, ...]] = {}


def _members(kind: Any) -> tuple[_Member, ...]:
    """Return the members to complete or check: name, empty value, check."""
    unset = MAY_BE_UNSET.get(kind, ())
    found = []
    for spec in kind.thrift_spec:
        if spec is None:
            continue
        _id, thrift_type, name, args, _default = spec
        check: Callable[[Any], None] | None = _CHECKS.get(thrift_type)
        if thrift_type == TType.LIST and args[0] == TType.STRUCT:
            check = _complete_all
        make = _EMPTY[thrift_type]
        if name in unset:
            make = _unset
        elif args == 'BINARY':
            make = bytes
        found.append((name, make, check))
    return tuple(found)


def _unset() -> None:
    return None


def _complete_all(items: list[Any]) -> None:
    for item in items:
        _complete(item)


def _check_finite(value: float) -> None:
    if not math.isfinite(value):
        raise WireError(f'{value!r} is not finite')


_EMPTY: dict[int, Callable[[], Any]] = {
    TType.BOOL: bool,
    TType.DOUBLE: float,
    TType.I32: int,
    TType.I64: int,
    TType.STRING: str,
    TType.LIST: list,
    TType.STRUCT: _unset,
}
_CHECKS = {TType.DOUBLE: _check_finite, TType.STRUCT: _complete}
_FIELDS = [spec[2] for spec in ttypes.Envelope.thrift_spec if spec]
_FIELD_OF_TYPE = {
    spec[3][0]: spec[2] for spec in ttypes.Envelope.thrift_spec if spec
}
