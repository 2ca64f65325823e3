"""Deployments of the sizes that the product has to serve.

The engines' costs are those that operators publish for their engines.
"""

from __future__ import annotations

from burdockchute.model.routes import EngineCost
from burdockchute_testing.emulator.site import Deployment
from burdockchute_testing.emulator.site import Shape

# Long prompts with short answers, and short prompts with long answers: the
# load of an evening may alternate between the two.
LONG_PROMPTS = (Shape(1900.0, 35.0, 0.6, 1.0),)
LONG_ANSWERS = (Shape(350.0, 130.0, 0.6, 1.0),)


def small(entries: int = 5, engines: int = 6) -> Deployment:
    """Return a small site, of a few large engines."""
    return Deployment(
        entries,
        engines,
        16,
        EngineCost(0.00887, 0.00004, 19_100.0, 5, 950.0, 95.0),
        (
            Shape(1330.0, 105.0, 0.5, 0.40),
            Shape(827.0, 105.0, 0.4, 0.31),
            Shape(647.0, 70.0, 0.4, 0.29),
        ),
    )


def medium(entries: int = 14, engines: int = 20) -> Deployment:
    """Return a medium site, of some dozens of machines."""
    return Deployment(
        entries,
        engines,
        12,
        EngineCost(0.00673, 0.00004, 30_600.0, 7, 950.0, 120.0),
        (
            Shape(1330.0, 147.0, 0.4, 0.33),
            Shape(827.0, 147.0, 0.4, 0.39),
            Shape(647.0, 70.0, 0.4, 0.28),
        ),
    )


def large(entries: int = 36, engines: int = 60) -> Deployment:
    """Return a large site, of about a hundred machines."""
    return Deployment(
        entries,
        engines,
        8,
        EngineCost(0.0133, 0.00006, 12_700.0, 5, 950.0, 73.0),
        (
            Shape(1330.0, 74.0, 0.8, 0.44),
            Shape(827.0, 74.0, 0.6, 0.32),
            Shape(647.0, 70.0, 0.5, 0.24),
        ),
    )


def prioritized(entries: int = 13, engines: int = 23) -> Deployment:
    """Return a site with requests of three priorities, 0 the most urgent.

    Its engines carry about 7.8 of the requests per second each.
    """
    return Deployment(
        entries,
        engines,
        12,
        EngineCost(0.00927, 0.00004, 20_700.0, 5, 950.0, 95.0),
        (
            Shape(827.0, 105.0, 0.405, 0.43, 0),
            Shape(647.0, 70.0, 0.405, 0.23, 1),
            Shape(1330.0, 105.0, 1.006, 0.34, 2),
        ),
        queue=24,
    )


def in_bursts(deployment: Deployment, now: float) -> list[Shape]:
    """Return the kinds of a prioritized deployment, with bursts.

    Of eight seconds, two have 2.3 times the requests of the least urgent
    kind, and the next two 1.75 times those of the most urgent.
    """
    second = now % 8.0
    urgent, middle, least = deployment.shapes
    if 2.0 <= second < 4.0:
        least = least._replace(share=2.3 * least.share)
    elif 4.0 <= second < 6.0:
        urgent = urgent._replace(share=1.75 * urgent.share)
    return [urgent, middle, least]
