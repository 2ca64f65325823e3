"""OpenTelemetry metrics of copies of weights."""

from __future__ import annotations

from burdockchute import metrics


class WeightsMetrics:
    """Counters of one agent; create them after `metrics.set_up`."""

    def __init__(self) -> None:
        meter = metrics.meter()
        self._received = meter.create_counter(
            'burdockchute.weights.received',
            unit='By',
            description='verified bytes of weights, by source',
        )
        self._sent = meter.create_counter(
            'burdockchute.weights.sent',
            unit='By',
            description='bytes of weights sent to other instances',
        )
        self._failed = meter.create_counter(
            'burdockchute.weights.failed',
            description='reads and chunks that failed, by cause',
        )

    def received(self, source: str, size: int) -> None:
        """Count a received chunk of `size` bytes.

        `source` is origin, zone, region or elsewhere.
        """
        self._received.add(size, {'source': source})

    def sent(self, size: int) -> None:
        """Count a sent chunk of `size` bytes."""
        self._sent.add(size)

    def failed(self, cause: str) -> None:
        """Count a failure under the name of its log event."""
        self._failed.add(1, {'cause': cause})
