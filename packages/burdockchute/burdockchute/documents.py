"""JSON documents of other processes, which may have any content."""

from __future__ import annotations

import json
from typing import Any

# What decoding a document, or using members that are missing or of another
# type, may raise.
INVALID = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)


def load(data: bytes | bytearray) -> Any:
    """Return a document in UTF-8; raises one of INVALID.

    For bytes, `json` guesses the encoding, whose module may have to be
    imported. That fails where no descriptor is left.
    """
    return json.loads(data.decode())
