"""Settings of a process on a platform that has its own adapter.

What the machine is comes from the platform's settings file; flags and
variables hold what operators of this system choose.
"""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

from burdockchute import settings as base
from burdockchute.model.machines import Machine
from burdockchute.settings import Setting

PLATFORM = Setting(
    'platform',
    'adapter of the platform, empty for the own protocol',
    base.parse_text,
    '',
)


class Identity(NamedTuple):
    """What names a process and says where it stands."""

    name: str
    zone: str
    region: str
    otlp_endpoint: str


class SiteSettings(NamedTuple):
    """Checked settings."""

    platform: str
    settings: str
    admin_port: int
    otlp_endpoint: str
    log_level: str

    def identity(self, machine: Machine) -> Identity:
        """Give the identity of a process on a machine."""
        return Identity(
            machine.name,
            machine.place.zone,
            machine.place.region,
            self.otlp_endpoint,
        )


SETTINGS = (
    PLATFORM,
    Setting('settings', "path of the machine's settings", base.parse_text),
    Setting('admin-port', 'port for status', base.parse_port, '0'),
    Setting(
        'otlp-endpoint',
        'URL to export metrics to, empty for none',
        base.parse_optional_url,
        '',
    ),
    Setting('log-level', 'least level to log', base.parse_level, 'info'),
)


def of_values(values: dict[str, Any]) -> SiteSettings:
    """Give the settings from parsed values."""
    return SiteSettings(**values)
