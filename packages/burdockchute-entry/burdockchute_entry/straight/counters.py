"""Counters and latency histograms of an entry."""

from __future__ import annotations

from burdockchute import metrics
from burdockchute_entry.straight.callers import FinishedRequest


class Counters:
    """Metrics recorded for each finished request."""

    def __init__(self) -> None:
        meter = metrics.meter()
        self._requests = meter.create_counter(
            'burdockchute.requests', description='finished requests'
        )
        self._interruptions = meter.create_counter(
            'burdockchute.stream_interruptions',
            description='attempts at streams that ended early',
        )
        self._large_requests = meter.create_counter(
            'burdockchute.large_requests',
            description='finished requests of the largest tenth of a route, '
            'and of the fifth below it',
        )
        self._seconds = meter.create_histogram(
            'burdockchute.request_time', unit='s'
        )
        self._first_event = meter.create_histogram(
            'burdockchute.first_event', unit='s'
        )

    def finished(self, request: FinishedRequest) -> None:
        """Record one finished request."""
        # The part after the colon is a reason with numbers in it, which would
        # create one time series per value.
        outcome = request.outcome.partition(':')[0]
        attributes = {
            'route': request.route,
            'outcome': outcome,
            'status': str(request.status),
        }
        self._requests.add(1, attributes)
        for measure, size_class in request.size_classes.items():
            self._large_requests.add(
                1,
                {
                    'route': request.route,
                    'outcome': outcome,
                    'measure': measure,
                    'size': size_class.value,
                },
            )
        self._seconds.record(request.total_s, attributes)
        if request.first_event_s is not None:
            self._first_event.record(
                request.first_event_s, {'route': request.route}
            )
        for cause in request.interruptions:
            self._interruptions.add(1, {'cause': cause, 'outcome': outcome})
