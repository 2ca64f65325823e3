"""Messages between burdockchute's own processes, as thrift structs.

`burdockchute.thrift` is the source; `gen` is made from it by `make wire` and
committed, so that a build needs no generator.
"""

from __future__ import annotations

from burdockchute.wire.codec import decode
from burdockchute.wire.codec import encode
from burdockchute.wire.codec import MAX_FRAME_BYTES
from burdockchute.wire.codec import WireError
from burdockchute.wire.gen.burdockchute import ttypes as messages

__all__ = ['MAX_FRAME_BYTES', 'WireError', 'decode', 'encode', 'messages']
