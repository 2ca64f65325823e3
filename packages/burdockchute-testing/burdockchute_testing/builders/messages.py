"""Messages of peers with any content that their encoding can carry."""

from __future__ import annotations

from typing import Any

from hypothesis import strategies as st
from thrift.protocol import TBinaryProtocol
from thrift.Thrift import TType
from thrift.transport import TTransport

from burdockchute.wire import messages

_I32 = st.sampled_from([0, 1, -1, 7, 2**31 - 1, -(2**31)])
_I64 = _I32 | st.sampled_from([2**63 - 1, -(2**63), 10**15])
_DOUBLES = st.sampled_from([0.0, 1.5, -1.0, 1e308, float('inf'), float('nan')])
_VALUES: dict[int, st.SearchStrategy] = {
    TType.BOOL: st.booleans(),
    TType.I32: _I32,
    TType.I64: _I64,
    TType.DOUBLE: _DOUBLES,
}


def message_kinds() -> list[Any]:
    """Return the classes of all messages."""
    return [spec[3][0] for spec in messages.Envelope.thrift_spec if spec]


def any_message(kind: Any, texts: st.SearchStrategy) -> st.SearchStrategy:
    """Return a strategy for messages of a class, with members left out.

    `texts` are the strings in them, such as names that the receiver knows.
    """
    members = {
        spec[2]: st.none() | _value(spec[1], spec[3], texts)
        for spec in kind.thrift_spec
        if spec
    }
    return st.builds(kind, **members)


def _value(
    thrift_type: int, args: Any, texts: st.SearchStrategy
) -> st.SearchStrategy:
    if thrift_type == TType.STRUCT:
        return any_message(args[0], texts)
    if thrift_type == TType.LIST:
        return st.lists(_value(args[0], args[1], texts), max_size=2)
    if thrift_type == TType.STRING:
        if args == 'BINARY':
            return st.binary(max_size=8) | texts.map(str.encode)
        return texts
    return _VALUES[thrift_type]


def encoded(message: Any) -> bytes:
    """Encode a message as a peer would, whatever its members are."""
    field = next(
        spec[2]
        for spec in messages.Envelope.thrift_spec
        if spec and spec[3][0] is type(message)
    )
    buffer = TTransport.TMemoryBuffer()
    messages.Envelope(**{field: message}).write(
        TBinaryProtocol.TBinaryProtocolAccelerated(buffer)
    )
    return buffer.getvalue()
