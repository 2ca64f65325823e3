"""burdockchute: weight distribution for bursts.

This package exports the public types; docs/guide describes their use. They
are imported when they are first used: a process installs its signal handlers
before it imports them.
"""

from __future__ import annotations

import importlib

_MODULES = {
    'AdapterRow': 'rows',
    'Answered': 'outcomes',
    'CustomerRow': 'rows',
    'Finding': 'findings',
    'Member': 'members',
    'ModelRow': 'rows',
    'NotRun': 'outcomes',
    'ObjectiveRow': 'rows',
    'Place': 'members',
    'RequestContext': 'requests',
    'RowKey': 'rows',
    'ServiceRow': 'rows',
    'Unknown': 'outcomes',
}

__version__ = '0.1.0'
__all__ = [*_MODULES]


def __getattr__(name: str) -> object:
    if name not in _MODULES:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    module = importlib.import_module(f'{__name__}.model.{_MODULES[name]}')
    return getattr(module, name)
