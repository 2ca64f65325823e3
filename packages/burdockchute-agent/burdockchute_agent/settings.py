"""Settings of the agent."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

from burdockchute import settings as base
from burdockchute.model import findings
from burdockchute.settings import Setting

UPSTREAM_KINDS = ('engine', 'service')


class Settings(NamedTuple):
    """Validated settings; rates in bytes per second, times in seconds."""

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
    *base.instance_settings('main'),
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
        'stall-s',
        'longest wait for the next bytes of the upstream',
        base.parse_seconds,
        '10',
    ),
    *base.process_settings(),
)


def from_values(values: dict[str, Any]) -> Settings:
    """Return the settings made of parsed values."""
    return Settings(**values)
