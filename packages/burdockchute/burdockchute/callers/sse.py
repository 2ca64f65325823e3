"""Server-sent events: the form in which a streamed answer goes out."""

from __future__ import annotations

import json

CONTENT_TYPE = 'text/event-stream'
OUTCOME_EVENT = 'outcome'


def data_event(data: bytes) -> bytes:
    r"""Give one event of an answer.

    >>> data_event(b'{"text": "a"}')
    b'data: {"text": "a"}\n\n'
    """
    lines = data.split(b'\n')
    return b''.join(b'data: %b\n' % line for line in lines) + b'\n'


def outcome_event(fields: dict[str, object]) -> bytes:
    """Give the last event, which says that the stream is at its end.

    A stream that breaks off without it is not whole; a reader must not take
    it for a short answer.
    """
    text = json.dumps(fields)
    return f'event: {OUTCOME_EVENT}\ndata: {text}\n\n'.encode()
