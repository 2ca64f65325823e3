"""Encode and decode messages.

>>> from burdockchute.wire.gen.burdockchute import ttypes
>>> decode(encode(ttypes.Cancel(request_id='r1'))).request_id
'r1'
"""

from __future__ import annotations

from typing import Any

from thrift.protocol import TBinaryProtocol
from thrift.transport import TTransport

from burdockchute.wire.gen.burdockchute import ttypes

MAX_FRAME_BYTES = 16 * 1024 * 1024


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
    """Return the message in a frame; raises WireError if it is invalid."""
    envelope = ttypes.Envelope()
    transport = TTransport.TBufferedTransport(
        TTransport.TMemoryBuffer(data), len(data)
    )
    protocol = TBinaryProtocol.TBinaryProtocolAccelerated(
        transport,
        string_length_limit=MAX_FRAME_BYTES,
        container_length_limit=MAX_FRAME_BYTES,
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
            return message
    raise WireError('envelope has no known message')


_FIELDS = [spec[2] for spec in ttypes.Envelope.thrift_spec if spec]
_FIELD_OF_TYPE = {
    spec[3][0]: spec[2] for spec in ttypes.Envelope.thrift_spec if spec
}
