"""Leases of the extra retries that operators allow, over all entries.

The extra retries of a service are divided into LEASES. Entries hold them by
records in the platform's store, one record for each start of an entry. A
record is written on condition that its writer knows all records before it, so
that entries never hold more than all leases together:

- A holder uses a lease for LEASE_S from when it sent the write.
- Another entry counts the leases of a record until LEASE_S and a window after
  it first read the record, which is later than the write. So two leases that
  are used within the same window are both counted. Clocks of machines are not
  compared.
- What a process has spent is known from its record after it has ended. The
  next process of its machine is another holder.

Without the store nothing is leased or renewed; leases that are held stay valid
for LEASE_S.
"""

from __future__ import annotations

from collections.abc import Mapping
import math
from typing import NamedTuple

from burdockchute.decisions.retry_allowance import USED_SHARE
from burdockchute.model.retry_leases import LeasesHeld

LEASES = 16
LEASE_S = 20.0
# A lease is renewed when it is valid for less than this.
RENEW_S = 10.0

# An entry writes a record this often, without leases if it needs none, and
# counts as one that shares limits until PRESENT_S after its newest record.
PRESENCE_INTERVAL_S = 30.0
PRESENT_S = 90.0


def lease_size(extra: float) -> float:
    """Return the retries that one lease allows in a window."""
    return max(1.0, USED_SHARE * extra / LEASES)


def lease_count(extra: float) -> int:
    """Return the number of leases of a service.

    >>> lease_count(106.0), lease_count(10.0), lease_count(1.0)
    (16, 8, 0)
    """
    return min(LEASES, math.floor(USED_SHARE * extra))


class _Seen(NamedTuple):
    record: LeasesHeld
    at: float


class Register:
    """The records of all entries as read from the store.

    Times are of this process, in seconds. Records don't expire while the
    store can't be read, as entries can't join meanwhile.
    """

    def __init__(self) -> None:
        # Newest last; earlier ones count until they expire.
        self._seen: dict[str, list[_Seen]] = {}

    def record(self, record: LeasesHeld, now: float) -> None:
        """Apply a record that was read."""
        self._seen.setdefault(record.key, []).append(_Seen(record, now))

    def remove(self, key: str) -> None:
        """Apply the removal of a record."""
        self._seen.pop(key, None)

    def taken(
        self, service: str, own_key: str, now: float, window_s: float
    ) -> int:
        """Return the leases of a service that others may be using."""
        return sum(
            max(
                (
                    seen.record.leases.get(service, 0)
                    for seen in versions
                    if now < seen.at + LEASE_S + window_s
                ),
                default=0,
            )
            for key, versions in self._seen.items()
            if key != own_key
        )

    def entries(self, own: str, now: float) -> int:
        """Return the number of entries, with the one named `own`."""
        newest = (versions[-1] for versions in self._seen.values())
        present = {
            seen.record.entry
            for seen in newest
            if now < seen.at + PRESENT_S and not seen.record.is_leaving
        }
        return len(present | {own})

    def expire(self, now: float, window_s: float) -> list[str]:
        """Forget what counts no more; return the keys of such records."""
        expired = []
        for key, versions in list(self._seen.items()):
            expires_at = versions[-1].at + max(LEASE_S + window_s, PRESENT_S)
            if now >= expires_at:
                expired.append(key)
                del self._seen[key]
                continue
            self._seen[key] = [
                seen
                for seen in versions[:-1]
                if now < seen.at + LEASE_S + window_s
            ] + versions[-1:]
        return expired


class _Held(NamedTuple):
    leases: int
    valid_until: float


class OwnLeases:
    """The leases of this process, by service."""

    def __init__(self) -> None:
        # Newest last; earlier ones are listed until no window has their use.
        self._held: dict[str, list[_Held]] = {}

    def count(self, service: str, now: float) -> int:
        """Return the valid leases of a service."""
        held = self._held.get(service)
        return held[-1].leases if held and now < held[-1].valid_until else 0

    def valid_s(self, service: str, now: float) -> float:
        """Return for how long the leases of a service are valid yet."""
        held = self._held.get(service)
        return max(0.0, held[-1].valid_until - now) if held else 0.0

    def listed(
        self, wanted: Mapping[str, int], now: float, window_s: float
    ) -> dict[str, int]:
        """Return the leases that a record has to name to hold `wanted`."""
        self._held = {
            service: in_use
            for service, held in self._held.items()
            if (in_use := [h for h in held if now < h.valid_until + window_s])
        }
        listed = dict(wanted)
        for service, held in self._held.items():
            counts = (each.leases for each in held)
            listed[service] = max(listed.get(service, 0), *counts)
        return listed

    def grant(self, leases: Mapping[str, int], sent_at: float) -> None:
        """Hold leases whose record was written, sent at a time."""
        for service, count in leases.items():
            held = self._held.setdefault(service, [])
            held.append(_Held(count, sent_at + LEASE_S))


def wanted_leases(
    current: int, is_short: bool, entries: int, free: int
) -> int:
    """Return how many leases of a service an entry should hold.

    One at least while it sends requests, more when it has no retries left,
    and at most an equal share. `free` counts its own. `entries` decides only
    how leases are shared, not how many there are.

    >>> wanted_leases(0, False, 6, 16), wanted_leases(1, True, 6, 16)
    (1, 2)
    >>> wanted_leases(2, True, 6, 16), wanted_leases(1, True, 1, 2)
    (2, 2)
    """
    share = max(1, LEASES // max(1, entries))
    wanted = max(1, 2 * current if is_short else current)
    return max(0, min(wanted, share, free))
