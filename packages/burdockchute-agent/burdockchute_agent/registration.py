"""Registration of an agent; its fencing number is an offset in the log.

Of two agents for one instance, the one that registered later has the higher
number, independent of its clock. An append whose reply was lost is repeated:
both records belong to this agent, and the higher offset counts.
"""

from __future__ import annotations

import json

from returns.result import Result

from burdockchute.platform.log import LogClient
from burdockchute.platform.log import LogError

STREAM = 'agents'


def register(
    log: LogClient, name: str, incarnation: str
) -> Result[int, LogError]:
    """Append a registration and return its offset."""
    record = {
        'format': 1,
        'type': 'registration',
        'instance': name,
        'incarnation': incarnation,
    }
    return log.append(STREAM, json.dumps(record, sort_keys=True))
