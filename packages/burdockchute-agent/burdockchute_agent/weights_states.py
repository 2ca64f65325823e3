"""What entries and operators are told of each row's weights."""

from __future__ import annotations

from burdockchute.upstreams.gate import Gate
from burdockchute.upstreams.gate import Weights
from burdockchute.wire import messages
from burdockchute_agent.copy_manager import CopyManager
from burdockchute_agent.engine_state_tracker import EngineStateTracker
from burdockchute_agent.row_switch import RowSwitch


def states_of(
    switch: RowSwitch,
    tracker: EngineStateTracker,
    gate: Gate,
    copying: CopyManager,
) -> list[messages.WeightsState]:
    """Give one state for each digest that is wanted or loaded for a row."""
    digests = set(tracker.loaded(switch.kind, switch.name))
    if switch.target:
        digests.add(switch.target.digest)
    found = []
    for digest in sorted(digests):
        held, total = copying.progress(digest)
        is_loading = digest in tracker.loading(switch.kind, switch.name)
        is_whole = held == total > 0
        found.append(
            messages.WeightsState(
                row=f'{switch.kind}/{switch.name}',
                digest=digest,
                phase=_phase(switch, digest, gate, is_loading or is_whole),
                chunks_held=held,
                chunks_total=total,
            )
        )
    return found


def weights_of(switch: RowSwitch, digest: str) -> Weights:
    """Give the name of a row's weights at the gate."""
    return Weights(switch.kind, switch.name, digest)


def _phase(switch: RowSwitch, digest: str, gate: Gate, may_load: bool) -> str:
    if gate.is_open(weights_of(switch, digest)):
        return 'open'
    if switch.target is None or switch.target.digest != digest:
        return 'draining'
    return 'loading' if may_load else 'copying'
