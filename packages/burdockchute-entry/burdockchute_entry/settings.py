"""Settings of an entry."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

from burdockchute import settings as base
from burdockchute.settings import Setting


class Settings(NamedTuple):
    """Validated settings; times are in seconds, sizes in bytes."""

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
    *base.instance_settings('entry'),
    Setting('http-port', 'port for callers', base.parse_port, '0'),
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
    *base.process_settings(),
)


def from_values(values: dict[str, Any]) -> Settings:
    """Return the settings from parsed values."""
    return Settings(**values)
