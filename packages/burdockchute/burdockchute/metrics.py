"""Metrics through OpenTelemetry.

Instruments are made once for each process and read in two ways: `snapshot`
gives them locally for the status page, and an OTLP exporter over HTTP sends
them where the settings name an endpoint.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
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


def register_gauge(
    name: str, unit: str, read: Callable[[], float | None]
) -> None:
    """Measure a value whenever metrics are read; None leaves it out."""

    def observe(_options: otel.CallbackOptions) -> list[otel.Observation]:
        value = read()
        return [] if value is None else [otel.Observation(value)]

    meter().create_observable_gauge(name, callbacks=[observe], unit=unit)


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


def prometheus_text(points: Iterable[Point]) -> str:
    """Give points in the text format that collectors of metrics read."""
    return ''.join(f'{line}\n' for p in points for line in _text_of(p))


def _text_of(point: Point) -> list[str]:
    name = point['name'].replace('.', '_')
    labels = [f'{k}="{_escaped(v)}"' for k, v in point['attributes'].items()]
    if not point['buckets']:
        return [f'{name}{_braced(labels)} {point["value"]:g}']
    lines = []
    total = 0
    bounds = [f'{bound:g}' for bound in point['bounds']] + ['+Inf']
    for bound, count in zip(bounds, point['buckets'], strict=True):
        total += count
        braced = _braced([*labels, f'le="{bound}"'])
        lines.append(f'{name}_bucket{braced} {total}')
    lines.append(f'{name}_sum{_braced(labels)} {point["value"]:g}')
    lines.append(f'{name}_count{_braced(labels)} {point["count"]}')
    return lines


def _braced(labels: list[str]) -> str:
    return '{' + ','.join(labels) + '}' if labels else ''


def _escaped(value: str) -> str:
    return value.replace('\\', '\\\\').replace('"', '\\"')


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
