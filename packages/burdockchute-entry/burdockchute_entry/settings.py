"""Settings of an entry."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

from burdockchute import settings as base
from burdockchute.settings import Setting


class Settings(NamedTuple):
    """Validated settings; times are in seconds, sizes in bytes.

    `memory_mb` is None for a half of the machine's memory.
    """

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
    memory_mb: float | None
    drain_s: float
    otlp_endpoint: str
    log_level: str

    @property
    def memory_bytes(self) -> int | None:
        """The memory that this process may use."""
        return None if self.memory_mb is None else int(self.memory_mb * 1e6)


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
    Setting(
        'memory-mb',
        "memory that this process may use, empty for half of the machine's",
        base.parse_optional_megabytes,
        '',
    ),
    *base.process_settings(),
)


def from_values(values: dict[str, Any]) -> Settings:
    """Return the settings from parsed values."""
    return Settings(**values)
