"""Settings of a process on a platform with an adapter.

The platform's settings file describes the machine; flags and environment
variables hold the choices of this system's operators.
"""

from __future__ import annotations

from collections.abc import Sequence
import time
from typing import Any
from typing import NamedTuple

import gevent
from returns.result import Failure
from returns.result import Result

from burdockchute import logs
from burdockchute import settings as base
from burdockchute.adapters import Adapter
from burdockchute.decisions.engine_speed import SpeedUse
from burdockchute.model.findings import Finding
from burdockchute.model.findings import render_all
from burdockchute.model.machines import Machine
from burdockchute.settings import Setting

PLATFORM = Setting(
    'platform',
    "adapter of the platform, empty for the project's own protocol",
    base.parse_text,
    '',
)

# A platform may write the file in place or after the start of a process, so it
# can be missing, empty or incomplete for a moment.
REWRITE_TIMEOUT_S = 5.0
REWRITE_POLL_S = 0.05


class Identity(NamedTuple):
    """The name, the location and the metrics endpoint of a process."""

    name: str
    zone: str
    region: str
    otlp_endpoint: str


class SiteSettings(NamedTuple):
    """Validated settings."""

    platform: str
    settings: str
    admin_port: int
    otlp_endpoint: str
    log_level: str
    engine_speed: SpeedUse = SpeedUse.REPORTED

    def identity(self, machine: Machine) -> Identity:
        """Return the identity of a process on a machine."""
        return Identity(
            machine.name,
            machine.place.zone,
            machine.place.region,
            self.otlp_endpoint,
        )


def _parse_speed_use(text: str) -> SpeedUse:
    try:
        return SpeedUse(text)
    except ValueError:
        names = ', '.join(item.value for item in SpeedUse)
        raise ValueError(f'{text!r:.40} is none of {names}') from None


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
    Setting('log-level', 'lowest level to log', base.parse_level, 'info'),
    Setting(
        'engine-speed',
        "what an entry uses of engines' speed: reported, measured or hedged",
        _parse_speed_use,
        SpeedUse.REPORTED.value,
    ),
)


def from_values(values: dict[str, Any]) -> SiteSettings:
    """Return the settings from parsed values."""
    return SiteSettings(**values)


def read_machine(
    cfg: SiteSettings, adapter: Adapter
) -> Result[Machine, list[Finding]]:
    """Read the machine's file; one that is being written is read again."""
    began = time.monotonic()
    first_reason = ''
    while True:
        result = adapter.read_machine(cfg.settings)
        waited_s = time.monotonic() - began
        if not isinstance(result, Failure):
            if first_reason:
                logs.event(
                    'settings_readable',
                    reason=first_reason,
                    after_s=round(waited_s, 2),
                )
            return result
        if not may_read_again(result.failure(), waited_s):
            return result
        if not first_reason:
            first_reason = render_all(result.failure())
            logs.warn(
                'settings_unreadable',
                reason=first_reason,
                retry_s=REWRITE_TIMEOUT_S,
            )
        gevent.sleep(REWRITE_POLL_S)


def may_read_again(invalid: list[Finding], waited_s: float) -> bool:
    """Whether a file with these findings is read again."""
    return is_transient(invalid) and waited_s < REWRITE_TIMEOUT_S


def is_transient(invalid: list[Finding]) -> bool:
    """Whether all findings may be gone when the file is read again."""
    return all(finding.is_transient for finding in invalid)


def find_missing(
    cfg: SiteSettings,
    adapter: Adapter,
    machine: Machine,
    required: Sequence[str],
) -> list[Finding]:
    """Return a finding for each required field that the machine lacks."""
    return [
        Finding(cfg.settings, f'{adapter.member_names[name]}: must be given')
        for name in required
        if getattr(machine, name) is None
    ]


def reload(cfg: SiteSettings, adapter: Adapter, current: Machine) -> Machine:
    """Read the machine's file again; keep the old state if it is invalid.

    Nothing is raised: the greenlet that handles the signal would print the
    error outside the log.

    The name and the addresses of the machine stay as at the start; only its
    bounds may change in a running process.
    """
    try:
        result = read_machine(cfg, adapter)
    except Exception as exc:
        logs.warn('reload_failed', reason=repr(exc))
        return current
    if isinstance(result, Failure):
        logs.warn('reload_failed', reason=render_all(result.failure()))
        return current
    reloaded = current._replace(bounds=result.unwrap().bounds)
    logs.event('reloaded', changed=reloaded != current)
    return reloaded
