"""Messages between burdockchute's processes, as thrift structs.

`burdockchute.thrift` is the source; `make wire` generates `gen` from it. The
generated code is committed, so that a build does not need the generator.
"""

from __future__ import annotations

from burdockchute.wire.codec import decode
from burdockchute.wire.codec import encode
from burdockchute.wire.codec import MAX_FRAME_BYTES
from burdockchute.wire.codec import WireError
from burdockchute.wire.gen.burdockchute import ttypes as messages

__all__ = ['MAX_FRAME_BYTES', 'WireError', 'decode', 'encode', 'messages']
