"""Metrics through OpenTelemetry.

Instruments are created once per process and read in two ways: `snapshot`
returns them for the admin port, and an OTLP exporter sends them over HTTP to
the endpoint in the settings, if there is one.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import TypedDict

from opentelemetry import metrics as otel
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk.metrics import export
from opentelemetry.sdk.resources import Resource

from burdockchute import logs

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
_providers: list[sdk.MeterProvider] = []


def set_up(process: str, otlp_endpoint: str) -> None:
    """Start collecting metrics; export them if an endpoint is given.

    Exports that fail are repeated at the next interval; `shut_down` makes the
    last one.
    """
    reader = export.InMemoryMetricReader()
    readers: list[export.MetricReader] = [reader]
    if otlp_endpoint:
        readers += _exporting_readers(otlp_endpoint)
    provider = sdk.MeterProvider(
        metric_readers=readers,
        resource=Resource({'service.name': 'burdockchute', 'proc': process}),
        # An export to an endpoint that doesn't answer takes 10 s, longer than
        # the grace period of a process.
        shutdown_on_exit=False,
    )
    otel.set_meter_provider(provider)
    _readers[:] = [reader]
    _providers.append(provider)


def shut_down(timeout_s: float) -> None:
    """Export the metrics a last time, and wait up to `timeout_s` for it."""
    while _providers:
        try:
            _providers.pop().shutdown(timeout_millis=timeout_s * 1000)
        except Exception as exc:
            logs.warn('metrics_not_exported', reason=str(exc))


def meter() -> otel.Meter:
    """Return the meter that creates this project's instruments."""
    return otel.get_meter('burdockchute')


def register_gauge(
    name: str, unit: str, read: Callable[[], float | None]
) -> None:
    """Call `read` whenever metrics are read; None omits the value."""

    def observe(_options: otel.CallbackOptions) -> list[otel.Observation]:
        value = read()
        return [] if value is None else [otel.Observation(value)]

    meter().create_observable_gauge(name, callbacks=[observe], unit=unit)


def register_gauges(
    name: str, unit: str, label: str, read: Callable[[], Mapping[str, float]]
) -> None:
    """Call `read` whenever metrics are read, for a value by `label`."""

    def observe(_options: otel.CallbackOptions) -> list[otel.Observation]:
        return [
            otel.Observation(value, {label: key})
            for key, value in read().items()
        ]

    meter().create_observable_gauge(name, callbacks=[observe], unit=unit)


def snapshot() -> list[Point]:
    """Return all points that this process has measured.

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
                    points.extend(_read_points(metric))
    return points


def prometheus_text(points: Iterable[Point]) -> str:
    """Return points in the text format of Prometheus."""
    return ''.join(f'{line}\n' for p in points for line in _text_lines(p))


def _text_lines(point: Point) -> list[str]:
    name = point['name'].replace('.', '_')
    labels = [
        f'{k}="{_escape_label(v)}"' for k, v in point['attributes'].items()
    ]
    if not point['buckets']:
        return [f'{name}{_label_set(labels)} {point["value"]:g}']
    lines = []
    cumulative = 0
    bounds = [f'{bound:g}' for bound in point['bounds']] + ['+Inf']
    for bound, count in zip(bounds, point['buckets'], strict=True):
        cumulative += count
        label_set = _label_set([*labels, f'le="{bound}"'])
        lines.append(f'{name}_bucket{label_set} {cumulative}')
    lines.append(f'{name}_sum{_label_set(labels)} {point["value"]:g}')
    lines.append(f'{name}_count{_label_set(labels)} {point["count"]}')
    return lines


def _label_set(labels: list[str]) -> str:
    return '{' + ','.join(labels) + '}' if labels else ''


def _escape_label(value: str) -> str:
    return value.replace('\\', '\\\\').replace('"', '\\"')


def _exporting_readers(endpoint: str) -> list[export.MetricReader]:
    """Return the reader that exports; none if it can't be set up."""
    try:
        from opentelemetry.exporter.otlp.proto.http import metric_exporter

        exporter = metric_exporter.OTLPMetricExporter(endpoint=endpoint)
        reader = export.PeriodicExportingMetricReader(
            exporter, export_interval_millis=EXPORT_INTERVAL_MS
        )
    except Exception as exc:
        # The exporter may not be installed, and reads environment variables
        # of its own.
        logs.warn('metrics_not_exported', endpoint=endpoint, reason=str(exc))
        return []
    return [reader]


def _read_points(metric: export.Metric) -> list[Point]:
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
