"""Metrics through OpenTelemetry.

Instruments are made once for each process and read in two ways: `snapshot`
gives them locally for the status page, and an OTLP exporter over HTTP sends
them where the settings name an endpoint.
"""

from __future__ import annotations

from typing import TypedDict

from opentelemetry import metrics as otel
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk.metrics import export
from opentelemetry.sdk.resources import Resource

EXPORT_INTERVAL_MS = 15_000


class Point(TypedDict):
    """One measured value with its attributes."""

    name: str
    attributes: dict[str, str]
    value: float
    count: int
    bounds: list[float]
    buckets: list[int]


_readers: list[export.InMemoryMetricReader] = []


def set_up(process: str, otlp_endpoint: str) -> None:
    """Start measuring; exports only if an endpoint is named."""
    reader = export.InMemoryMetricReader()
    readers: list[export.MetricReader] = [reader]
    if otlp_endpoint:
        readers.append(_exporting_reader(otlp_endpoint))
    provider = sdk.MeterProvider(
        metric_readers=readers,
        resource=Resource({'service.name': 'burdockchute', 'proc': process}),
    )
    otel.set_meter_provider(provider)
    _readers[:] = [reader]


def meter() -> otel.Meter:
    """Give the meter that makes this project's instruments."""
    return otel.get_meter('burdockchute')


def snapshot() -> list[Point]:
    """Give every point measured so far by this process.

    Counters have `value`; histograms have `count`, `value` (the sum),
    `bounds` and `buckets` as well.
    """
    points: list[Point] = []
    for reader in _readers:
        data = reader.get_metrics_data()
        if data is None:
            continue
        for resource in data.resource_metrics:
            for scope in resource.scope_metrics:
                for metric in scope.metrics:
                    points.extend(_points_of(metric))
    return points


def _exporting_reader(endpoint: str) -> export.MetricReader:
    from opentelemetry.exporter.otlp.proto.http import metric_exporter

    return export.PeriodicExportingMetricReader(
        metric_exporter.OTLPMetricExporter(endpoint=endpoint),
        export_interval_millis=EXPORT_INTERVAL_MS,
    )


def _points_of(metric: export.Metric) -> list[Point]:
    return [
        Point(
            name=metric.name,
            attributes={k: str(v) for k, v in (p.attributes or {}).items()},
            value=getattr(p, 'value', getattr(p, 'sum', 0.0)),
            count=getattr(p, 'count', 0),
            bounds=list(getattr(p, 'explicit_bounds', ())),
            buckets=list(getattr(p, 'bucket_counts', ())),
        )
        for p in metric.data.data_points
    ]
