"""States of each row's weights, as reported to entries and operators."""

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
    copies: CopyManager,
) -> list[messages.WeightsState]:
    """Return one state for each digest that is wanted or loaded for a row."""
    digests = set(tracker.loaded(switch.kind, switch.name))
    if switch.target:
        digests.add(switch.target.digest)
    states = []
    for digest in sorted(digests):
        held, total = copies.progress(digest)
        is_loading = digest in tracker.loading(switch.kind, switch.name)
        is_complete = held == total > 0
        states.append(
            messages.WeightsState(
                row=f'{switch.kind}/{switch.name}',
                digest=digest,
                phase=_phase(switch, digest, gate, is_loading or is_complete),
                chunks_held=held,
                chunks_total=total,
            )
        )
    return states


def weights_of(switch: RowSwitch, digest: str) -> Weights:
    """Return the weights of a row as the gate identifies them."""
    return Weights(switch.kind, switch.name, digest)


def _phase(switch: RowSwitch, digest: str, gate: Gate, may_load: bool) -> str:
    if gate.is_open(weights_of(switch, digest)):
        return 'open'
    if switch.target is None or switch.target.digest != digest:
        return 'draining'
    return 'loading' if may_load else 'copying'
