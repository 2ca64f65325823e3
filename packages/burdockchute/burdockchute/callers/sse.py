"""Server-sent events, the format of streamed answers."""

from __future__ import annotations

import json

CONTENT_TYPE = 'text/event-stream'
OUTCOME_EVENT = 'outcome'


def data_event(data: bytes) -> bytes:
    r"""Return one event of an answer.

    >>> data_event(b'{"text": "a"}')
    b'data: {"text": "a"}\n\n'
    """
    lines = data.split(b'\n')
    return b''.join(b'data: %b\n' % line for line in lines) + b'\n'


def outcome_event(fields: dict[str, object]) -> bytes:
    """Return the last event, which marks the end of the stream.

    A stream that ends without it is incomplete, and a reader must not take
    it for a short answer.
    """
    text = json.dumps(fields)
    return f'event: {OUTCOME_EVENT}\ndata: {text}\n\n'.encode()
