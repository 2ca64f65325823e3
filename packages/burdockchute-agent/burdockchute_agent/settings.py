"""Settings of the agent."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

from burdockchute import settings as base
from burdockchute.model import findings
from burdockchute.settings import Setting

UPSTREAM_KINDS = ('engine', 'service')


class Settings(NamedTuple):
    """Checked settings; rates are bytes a second, times are seconds."""

    name: str
    zone: str
    region: str
    pool: str
    address: str
    link_port: int
    admin_port: int
    log_url: str
    store_url: str
    upstream_url: str
    upstream_kind: str
    services: tuple[str, ...]
    uplink_bytes_per_s: int
    downlink_bytes_per_s: int
    drain_s: float
    stall_s: float
    otlp_endpoint: str
    log_level: str


def _parse_kind(text: str) -> str:
    if text not in UPSTREAM_KINDS:
        raise ValueError(findings.not_one_of(text, UPSTREAM_KINDS))
    return text


def _parse_services(text: str) -> tuple[str, ...]:
    return tuple(base.parse_name(part) for part in text.split(',') if part)


SETTINGS = (
    Setting('name', 'name of this instance', base.parse_name),
    Setting('zone', 'availability zone', base.parse_name),
    Setting('region', 'region', base.parse_name),
    Setting('pool', 'pool that placements may name', base.parse_name, 'main'),
    Setting('address', 'IP number to listen on', base.parse_address),
    Setting('link-port', 'port for links', base.parse_port, '0'),
    Setting('admin-port', 'port for status', base.parse_port, '0'),
    Setting('log-url', 'the platform log service', base.parse_url),
    Setting('store-url', 'the weight store', base.parse_url),
    Setting('upstream-url', 'the upstream beside us', base.parse_url),
    Setting('upstream-kind', 'engine or service', _parse_kind, 'engine'),
    Setting(
        'services',
        'services the upstream runs, a comma list',
        _parse_services,
        '',
    ),
    Setting(
        'uplink-bytes-per-s',
        'cap on weights sent to other instances',
        base.parse_bytes,
        '125000000',
    ),
    Setting(
        'downlink-bytes-per-s',
        'cap on weights received',
        base.parse_bytes,
        '125000000',
    ),
    Setting(
        'drain-s',
        'longest wait for requests in flight when leaving',
        base.parse_seconds,
        '60',
    ),
    Setting(
        'stall-s',
        'longest wait for the next bytes of the upstream',
        base.parse_seconds,
        '10',
    ),
    Setting(
        'otlp-endpoint',
        'URL to export metrics to, empty for none',
        base.parse_optional_url,
        '',
    ),
    Setting('log-level', 'least level to log', base.parse_level, 'info'),
)


def of_values(values: dict[str, Any]) -> Settings:
    """Give the settings from parsed values."""
    return Settings(**values)
