"""How the end of an answer is marked."""

from __future__ import annotations

import enum


class Framing(enum.Enum):
    """What marks the end of an answer."""

    LENGTH_OR_CHUNKS = 'length_or_chunks'
    CONNECTION = 'connection'
