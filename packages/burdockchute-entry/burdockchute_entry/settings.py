"""Settings of the entry."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

from burdockchute import settings as base
from burdockchute.settings import Setting


class Settings(NamedTuple):
    """Checked settings; times are seconds, sizes are bytes."""

    name: str
    zone: str
    region: str
    pool: str
    address: str
    link_port: int
    http_port: int
    admin_port: int
    log_url: str
    log_retention_s: float
    instances_url: str
    max_body_bytes: int
    default_deadline_s: float
    drain_s: float
    otlp_endpoint: str
    log_level: str


SETTINGS = (
    Setting('name', 'name of this instance', base.parse_name),
    Setting('zone', 'availability zone', base.parse_name),
    Setting('region', 'region', base.parse_name),
    Setting('pool', 'pool of this instance', base.parse_name, 'entry'),
    Setting('address', 'IP number to listen on', base.parse_address),
    Setting('link-port', 'port for links', base.parse_port, '0'),
    Setting('http-port', 'port for callers', base.parse_port, '0'),
    Setting('admin-port', 'port for status', base.parse_port, '0'),
    Setting('log-url', 'the platform log service', base.parse_url),
    Setting(
        'log-retention-s',
        'how long the log keeps a record',
        base.parse_seconds,
        '86400',
    ),
    Setting('instances-url', 'the instance list', base.parse_url),
    Setting(
        'max-body-bytes',
        'longest body of a request',
        base.parse_bytes,
        '1048576',
    ),
    Setting(
        'default-deadline-s',
        'deadline of a request that names none',
        base.parse_seconds,
        '60',
    ),
    Setting(
        'drain-s',
        'longest wait for requests in flight when leaving',
        base.parse_seconds,
        '60',
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
