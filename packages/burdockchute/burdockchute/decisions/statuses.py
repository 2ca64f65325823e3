"""Which HTTP statuses are answers; one rule for all that reads or sends them.

A status has three digits, of which the first is 1 to 5 (RFC 9110, section
15). Any other is no answer in the protocol, whatever the sender meant by it.
"""

from __future__ import annotations


def is_interim(status: int) -> bool:
    """Whether a final answer follows this status.

    >>> [is_interim(status) for status in (99, 100, 199, 200)]
    [False, True, True, False]
    """
    return 100 <= status <= 199


def is_final(status: int) -> bool:
    """Whether this is the status of an answer, which may be passed on.

    >>> [is_final(status) for status in (0, 199, 200, 599, 600)]
    [False, False, True, True, False]
    """
    return 200 <= status <= 599


def is_valid(status: int) -> bool:
    """Whether this is a status of the protocol."""
    return is_interim(status) or is_final(status)
