"""What is measured about copies, through OpenTelemetry."""

from __future__ import annotations

from burdockchute import metrics


class WeightsMetrics:
    """Counters of one agent; made after `metrics.set_up`."""

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
        """Count a chunk; `source` is origin, zone, region or elsewhere."""
        self._received.add(size, {'source': source})

    def sent(self, size: int) -> None:
        """Count a chunk that was sent."""
        self._sent.add(size)

    def failed(self, cause: str) -> None:
        """Count a failure, by the name of its log event."""
        self._failed.add(1, {'cause': cause})
