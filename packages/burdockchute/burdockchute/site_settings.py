"""Settings of a process on a platform that has its own adapter.

What the machine is comes from the platform's settings file; flags and
variables hold what operators of this system choose.
"""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

from returns.result import Failure

from burdockchute import logs
from burdockchute import settings as base
from burdockchute.adapters import Adapter
from burdockchute.model.findings import render_all
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


def from_values(values: dict[str, Any]) -> SiteSettings:
    """Give the settings from parsed values."""
    return SiteSettings(**values)


def reload(cfg: SiteSettings, adapter: Adapter, before: Machine) -> Machine:
    """Read the machine's file again; gives what was in force if it's bad.

    Where the machine listens and who it is stays as it was at the start;
    only its bounds may change under a running process.
    """
    result = adapter.read_machine(cfg.settings)
    if isinstance(result, Failure):
        logs.warn('reload_failed', reason=render_all(result.failure()))
        return before
    after = before._replace(bounds=result.unwrap().bounds)
    logs.event('reloaded', changed=after != before)
    return after
