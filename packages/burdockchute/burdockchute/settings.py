"""Settings from flags and environment variables, validated together.

Each setting is declared once; its flag is `--name` and its environment
variable `BURDOCKCHUTE_NAME`. A flag takes precedence over the variable, and
that over the default. All invalid settings are reported at once.

>>> port = Setting('port', 'TCP port', parse_port, '0')
>>> variable_name(port)
'BURDOCKCHUTE_PORT'
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import ipaddress
from typing import Any
from typing import NamedTuple
from urllib import parse

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from burdockchute.model import findings
from burdockchute.model.findings import Finding

EXIT_BAD_INPUT = 2
LOG_LEVELS = ('debug', 'info', 'warning', 'error')


class Setting(NamedTuple):
    """One setting; `parse` raises ValueError for an invalid value.

    `default` is text as an operator would write it; None makes the setting
    required.
    """

    name: str
    help: str
    parse: Callable[[str], Any]
    default: str | None = None


def instance_settings(pool: str) -> tuple[Setting, ...]:
    """Return the settings of the name, location and ports of an instance."""
    return (
        Setting('name', 'name of this instance', parse_name),
        Setting('zone', 'availability zone', parse_name),
        Setting('region', 'region', parse_name),
        Setting('pool', 'pool that placements may name', parse_name, pool),
        Setting('address', 'IP address to listen on', parse_address),
        Setting('link-port', 'port for links', parse_port, '0'),
        Setting('admin-port', 'port for status', parse_port, '0'),
        Setting('log-url', 'the platform log service', parse_url),
    )


def process_settings() -> tuple[Setting, ...]:
    """Return the settings of shutdown, metrics and logs."""
    return (
        Setting(
            'drain-s',
            'maximum wait for requests in flight when leaving',
            parse_seconds,
            '60',
        ),
        Setting(
            'otlp-endpoint',
            'URL to export metrics to, empty for none',
            parse_optional_url,
            '',
        ),
        Setting('log-level', 'lowest level to log', parse_level, 'info'),
    )


def variable_name(setting: Setting) -> str:
    """Return the name of the environment variable."""
    return 'BURDOCKCHUTE_' + setting.name.upper().replace('-', '_')


def add_flags(
    parser: argparse.ArgumentParser, settings: Sequence[Setting]
) -> None:
    """Add a flag for each setting, with variable and default in its help."""
    for setting in settings:
        default = (
            'required'
            if setting.default is None
            else f'default {setting.default!r}'
        )
        parser.add_argument(
            f'--{setting.name}',
            metavar=setting.name.upper().replace('-', '_'),
            help=f'{setting.help} [{variable_name(setting)}; {default}]',
        )


def read(
    settings: Sequence[Setting],
    args: argparse.Namespace,
    environ: Mapping[str, str],
) -> Result[dict[str, Any], list[Finding]]:
    """Return the parsed values by name ('_' for '-'), or all findings."""
    values: dict[str, Any] = {}
    invalid: list[Finding] = []
    for setting in settings:
        place, text = _find_text(setting, args, environ)
        if text is None:
            invalid.append(Finding(place, 'must be given'))
            continue
        try:
            values[_attribute_name(setting)] = setting.parse(text)
        except ValueError as exc:
            invalid.append(Finding(place, str(exc)))
    return Failure(invalid) if invalid else Success(values)


def parse_text(text: str) -> str:
    """Accept any text."""
    return text


def parse_name(text: str) -> str:
    """Parse a name, which has no whitespace, comma or slash."""
    if not text or any(c.isspace() or c in ',/' for c in text):
        raise ValueError(
            f'{text!r} is not a name: letters, digits, - . _ are valid'
        )
    return text


def parse_port(text: str) -> int:
    """Parse a TCP port, 0 for any free one."""
    try:
        port = int(text)
    except ValueError:
        port = -1
    if not 0 <= port <= 65535:
        raise ValueError(f'{text!r} is not a port from 0 to 65535')
    return port


def parse_address(text: str) -> str:
    """Parse an IP address."""
    try:
        return str(ipaddress.ip_address(text))
    except ValueError:
        raise ValueError(f'{text!r} is not an IP address') from None


def parse_url(text: str) -> str:
    """Parse an http or https URL with an IP address.

    The result has no trailing slash. A host name would need a DNS lookup,
    which blocks a process that does all its work in one thread.
    """
    parts = parse.urlsplit(text)
    try:
        ipaddress.ip_address(parts.hostname or '')
        is_valid = parts.scheme in ('http', 'https') and parts.port != 0
    except ValueError:
        is_valid = False
    if not is_valid:
        raise ValueError(f'{text!r} is not a URL http://IP-ADDRESS:PORT')
    return text.rstrip('/')


def parse_optional_url(text: str) -> str:
    """Parse a URL or an empty text."""
    return parse_url(text) if text else ''


def parse_seconds(text: str) -> float:
    """Parse a positive number of seconds."""
    return _parse_positive(text, 'number of seconds over 0')


def parse_bytes(text: str) -> int:
    """Parse a positive number of bytes; a fraction is cut off."""
    return int(_parse_positive(text, 'number of bytes over 0'))


def parse_optional_megabytes(text: str) -> float | None:
    """Parse a positive number of megabytes, or an empty text as None."""
    if not text:
        return None
    return _parse_positive(text, 'number of megabytes over 0')


def parse_level(text: str) -> str:
    """Parse a log level."""
    if text not in LOG_LEVELS:
        raise ValueError(findings.not_one_of(text, LOG_LEVELS))
    return text


def _parse_positive(text: str, quantity: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 < value < float('inf'):
        raise ValueError(f'{text!r} is not a {quantity}')
    return value


def _attribute_name(setting: Setting) -> str:
    return setting.name.replace('-', '_')


def _find_text(
    setting: Setting,
    args: argparse.Namespace,
    environ: Mapping[str, str],
) -> tuple[str, str | None]:
    flag = getattr(args, _attribute_name(setting), None)
    if flag is not None:
        return f'--{setting.name}', flag
    variable = variable_name(setting)
    if variable in environ:
        return variable, environ[variable]
    return f'--{setting.name} or {variable}', setting.default
