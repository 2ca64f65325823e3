"""Which availability zones are evacuated, and which streams leave them.

Operators name an availability zone from which all work is to go. From the
moment at which a process reads of it, it sends nothing more to the upstreams
there, by any path, until the evacuation is revoked. Each process decides by
itself, from the time at which it read of the evacuation: the time at which
operators requested it is not in the record, and clocks differ.

A request that runs there already stays, and so does a stream that is likely
to end before the bound; moving it would cost a retry and the work done. A
stream that is likely to outlast the bound is started elsewhere first and then
ended.

A record that can't be read leaves the state of its availability zone as it
was, whether it was evacuated or not: a damaged record must neither take the
capacity of an availability zone away nor send work to one that is about to be
switched off.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping

# Availability zones to the monotonic time at which their evacuation was read.
Evacuations = Mapping[str, float]


def after_request(
    evacuated: Evacuations, zone: str, now: float
) -> Evacuations:
    """Return the evacuations after one was requested.

    A record that is read again does not postpone the bound.

    >>> after_request({'north': 1.0}, 'north', 5.0)
    {'north': 1.0}
    >>> after_request({'north': 1.0}, 'south', 5.0)
    {'north': 1.0, 'south': 5.0}
    """
    return evacuated if zone in evacuated else {**evacuated, zone: now}


def after_revocation(evacuated: Evacuations, zone: str) -> Evacuations:
    """Return the evacuations after one was revoked.

    >>> after_revocation({'north': 1.0, 'south': 2.0}, 'north')
    {'south': 2.0}
    """
    if zone not in evacuated:
        return evacuated
    return {name: at for name, at in evacuated.items() if name != zone}


def after_full_read(
    evacuated: Evacuations, named: Collection[str]
) -> Evacuations:
    """Return the evacuations after a full read with records of some zones.

    `named` has the zones of all records, also of those that can't be read.

    >>> after_full_read({'north': 1.0, 'south': 2.0}, {'south'})
    {'south': 2.0}
    """
    if all(zone in named for zone in evacuated):
        return evacuated
    return {name: at for name, at in evacuated.items() if name in named}


def left_s(evacuated_at: float, bound_s: float, now: float) -> float:
    """Return the seconds until streams should have left; 0 after that.

    >>> left_s(10.0, 5.0, 12.0), left_s(10.0, 5.0, 17.0)
    (3.0, 0.0)
    """
    return max(0.0, evacuated_at + bound_s - now)


def should_move(evacuation_left_s: float, remainder_s: float) -> bool:
    """Whether a stream is likely to outlast the bound where it runs.

    >>> should_move(3.0, 1.0), should_move(0.5, 1.0)
    (False, True)
    """
    return remainder_s > evacuation_left_s
