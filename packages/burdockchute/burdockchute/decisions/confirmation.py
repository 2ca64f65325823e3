"""Whether an entry may act on its configuration where an older one would harm.

A saved configuration has to be in force everywhere within a bound. An entry
that can't read the store does not learn of it, and would go on by an older
one without a limit in time. Most requests are best served that way. One that
is restricted to some regions is not: the newest configuration may forbid the
region that the older one allows.

The store's answer to a read shows that a configuration was the newest when the
read was sent. No later one is in force before the bound has passed since then,
so until then the configuration is confirmed.
"""

from __future__ import annotations

from typing import NamedTuple

from burdockchute.decisions import startup

# From the check of a request to its arrival at the upstream, over links that
# are busy.
TRANSIT_S = 0.5

# A confirmation is renewed at this part of its age, before it expires: the
# read may fail, and its repetition takes a second.
RENEWAL_SHARE = 0.5

# How long requests wait for a confirmation once it has expired. Those that
# come later are refused at once.
MAX_WAIT_S = 1.0

# Retry-After of requests that are refused for want of a confirmation. Other
# entries may have one.
RETRY_S = 0.5


class Confirmation(NamedTuple):
    """What is known of how new a configuration is; times are monotonic.

    `confirmed_at` is when the store last showed that it is the newest one.
    `reported` is the newest version that other processes know, and since
    when it is known here.
    """

    confirmed_at: float = float('-inf')
    reported: int = 0
    reported_at: float = float('-inf')

    def age_s(self, now: float) -> float:
        """Return the seconds since the configuration was confirmed."""
        return now - self.confirmed_at


def confirmed(before: Confirmation, at: float) -> Confirmation:
    """Return the state after the store has confirmed the configuration."""
    return before._replace(confirmed_at=max(at, before.confirmed_at))


def store_away(before: Confirmation, version: int, at: float) -> Confirmation:
    """Return the state after the store was found to answer nobody.

    No configuration is saved then, but one may have been saved before that
    this process has not read.

    >>> state = Confirmation(reported=8)
    >>> [store_away(state, version, 3.0).confirmed_at for version in (7, 8)]
    [-inf, 3.0]
    """
    if before.reported > version:
        return before
    return confirmed(before, at)


def version_reported(
    before: Confirmation, version: int, now: float
) -> Confirmation:
    """Return the state after another process has named its version.

    >>> version_reported(Confirmation(1.0, 7, 2.0), 7, 9.0).reported_at
    2.0
    """
    if version <= before.reported:
        return before
    return before._replace(reported=version, reported_at=now)


def is_outdated(state: Confirmation, version: int, now: float) -> bool:
    """Whether another process knows a newer configuration than `version`.

    A store that was restored from a copy may lack it for good. It counts until
    operators have had the time to save it again.

    >>> state = Confirmation(0.0, reported=8, reported_at=1.0)
    >>> [is_outdated(state, version, 2.0) for version in (7, 8)]
    [True, False]
    """
    if state.reported <= version:
        return False
    return now - state.reported_at < startup.REWRITE_WAIT_S


def max_age_s(config_apply_s: float) -> float:
    """Return for how long a confirmation holds.

    `config_apply_s` is the time after which a saved configuration is in force.

    >>> max_age_s(3.0)
    2.5
    """
    return max(config_apply_s - TRANSIT_S, config_apply_s / 2)


def is_confirmed(
    state: Confirmation, version: int, config_apply_s: float, now: float
) -> bool:
    """Whether no newer configuration than `version` can be in force.

    >>> state = Confirmation(confirmed_at=1.0)
    >>> [is_confirmed(state, 7, 2.0, now) for now in (2.4, 2.6)]
    [True, False]
    """
    return not is_outdated(state, version, now) and (
        state.age_s(now) <= max_age_s(config_apply_s)
    )


def needs_renewal(
    state: Confirmation, version: int, config_apply_s: float, now: float
) -> bool:
    """Whether to read the store again for a request that needs it."""
    return is_outdated(state, version, now) or (
        state.age_s(now) > RENEWAL_SHARE * max_age_s(config_apply_s)
    )
