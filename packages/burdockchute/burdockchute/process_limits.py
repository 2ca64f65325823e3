"""What a process may use of its machine, and what it uses at present."""

from __future__ import annotations

import os
import resource

# Of a machine whose memory is not stated otherwise.
USABLE_SHARE = 0.5


def resident_bytes() -> int:
    """Return the resident size of this process.

    The second field of the file is the number of resident pages.
    """
    with open('/proc/self/statm', encoding='ascii') as file:
        return int(file.read().split()[1]) * os.sysconf('SC_PAGESIZE')


def memory_left_bytes(limit: int | None) -> int:
    """Return what a limit of memory leaves beside the resident size.

    Without a limit, a process may use a half of the machine's memory.
    """
    if limit is None:
        pages = os.sysconf('SC_PHYS_PAGES')
        limit = int(pages * os.sysconf('SC_PAGESIZE') * USABLE_SHARE)
    return max(0, limit - resident_bytes())


def max_descriptors(limit: int | None) -> int:
    """Return how many descriptors this process may open.

    That is the smaller one of `limit` and what the system allows.
    """
    allowed, _most = resource.getrlimit(resource.RLIMIT_NOFILE)
    return allowed if limit is None else min(limit, allowed)
