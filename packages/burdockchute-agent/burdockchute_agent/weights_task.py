"""Task that copies and loads the weights of the rows this instance hosts.

It decides which rows the instance hosts, copies their weights, sends orders
to the engine and owns the gates. All events arrive as messages in its inbox.
After each message, and many times a second, it derives the next step of each
row from the current state, so that no step depends on a single message
having arrived.
"""

from __future__ import annotations

import base64
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import random
import time

import gevent
from gevent import queue
from returns.result import Result
from returns.result import Success

from burdockchute import tasks
from burdockchute.decisions import hosting
from burdockchute.decisions import pacing
from burdockchute.decisions import switching
from burdockchute.logs import event
from burdockchute.logs import warn
from burdockchute.model.changes import MembersChanged
from burdockchute.model.changes import TableChanged
from burdockchute.model.members import Member
from burdockchute.model.members import Place
from burdockchute.model.table import EMPTY_TABLE
from burdockchute.model.table import Table
from burdockchute.nodes.peers import Peers
from burdockchute.upstreams.gate import Gate
from burdockchute.upstreams.gate import Weights
from burdockchute.upstreams.orders import OrderRefused
from burdockchute.weights.manifest import Manifest
from burdockchute.weights.manifest import parse
from burdockchute.weights.manifest import serialize_manifest
from burdockchute.weights.origin import Origin
from burdockchute.wire import messages
from burdockchute_agent.bandwidth import Bandwidth
from burdockchute_agent.copy_manager import CopyManager
from burdockchute_agent.copy_manager import WeightsSource
from burdockchute_agent.engine_state_tracker import EngineStateTracker
from burdockchute_agent.engine_task import EngineTask
from burdockchute_agent.events import EngineStateRead
from burdockchute_agent.events import OrderEnded
from burdockchute_agent.events import Registered
from burdockchute_agent.hosting_plan import plan_hosting
from burdockchute_agent.hosting_plan import Target
from burdockchute_agent.policy import DEFAULT_POLICY
from burdockchute_agent.policy import Policy
from burdockchute_agent.row_switch import RowSwitch
from burdockchute_agent.weights_states import states_of
from burdockchute_agent.weights_states import weights_of

ROW_CHECK_S = 0.02
REGISTER_RETRY_S = 1.0
NO_FENCE = -1

WeightsContent = tuple[Manifest, Iterable[bytes]]


class WeightsTask:
    """Copies, orders and gates of one instance.

    `uplink` and `downlink` are the capacity of the instance's link in bytes
    per second. `register` appends this agent's registration to the log and
    returns its offset, the fencing number. `source` returns the base URL of
    the admin HTTP server, from which the engine fetches weights. `services`
    names the plain services that the upstream can run. `live_bytes` returns
    the total bytes that live requests have put on this instance's link;
    copies yield bandwidth to them. `seed` makes random choices repeatable.
    """

    def __init__(
        self,
        name: str,
        place: Place,
        store_url: str,
        upstream_url: str,
        upstream_kind: str,
        uplink: float,
        downlink: float,
        register: Callable[[], Result],
        hello: Callable[[], messages.Hello],
        source: Callable[[], str] = str,
        services: Collection[str] = (),
        live_bytes: Callable[[], int] = int,
        policy: Policy = DEFAULT_POLICY,
        seed: int | None = None,
    ) -> None:
        self.inbox: queue.Queue = queue.Queue()
        self.gate = Gate()
        self.fence = NO_FENCE
        self._own = Member(name, 'agent', '', 0, place)
        self._is_engine = upstream_kind == 'engine'
        self._register = register
        self._source = source
        self._services = frozenset(services)
        self._table: Table = EMPTY_TABLE
        self._members: tuple[Member, ...] = ()
        now = time.monotonic()
        rng = random.Random(seed)
        self._policy = policy
        self._tracker = EngineStateTracker(now)
        self._engine = EngineTask(upstream_url, self.inbox.put)
        self._peers = Peers(self._own, hello, self.inbox, rng)
        self._copies = CopyManager(
            self._own,
            WeightsSource(lambda: Origin(store_url, 1), parse),
            Bandwidth(uplink, downlink, now),
            self._peers,
            self.inbox,
            policy,
            rng,
            now,
        )
        self._live_bytes = live_bytes
        self._counted_live_bytes = 0
        self._rows_checked_at = now
        self._switches: dict[tuple[str, str], RowSwitch] = {}
        self._is_superseded = False

    def run(self) -> None:
        """Work until killed."""
        greenlets = []
        if self._is_engine:
            greenlets.append(tasks.start_part(self._engine.run))
            greenlets.append(gevent.spawn(self._register_until_done))
        try:
            wait_s = 0.0
            while True:
                tasks.drain_inbox(self.inbox, self._handle_now, wait_s)
                wait_s = self._step(time.monotonic())
        finally:
            gevent.killall(greenlets, block=False)
            self._copies.stop()

    def states(self) -> list[messages.WeightsState]:
        """Return the state of each set of weights, as reported to entries."""
        return [
            state
            for switch in self._switches.values()
            for state in states_of(
                switch, self._tracker, self.gate, self._copies
            )
        ]

    def services(self) -> list[str]:
        """Return the names of the service rows that this instance runs."""
        if self._is_engine:
            return []
        rows = hosting.hosted_services(self._table, self._members, self._own)
        return [row.name for row in rows if row.name in self._services]

    def weights_response(self, digest: str) -> WeightsContent | None:
        """Return manifest and content of a complete copy, None without it."""
        copy = self._copies.complete_copy(digest)
        if copy is None:
            return None
        return copy.manifest, copy.content()

    def held_bytes(self) -> int:
        """Return the memory that all copies take, in bytes."""
        return self._copies.held_bytes()

    def _register_until_done(self) -> None:
        while True:
            result = self._register()
            if isinstance(result, Success):
                self.inbox.put(Registered(result.unwrap()))
                return
            warn('registration_failed', reason=result.failure())
            gevent.sleep(REGISTER_RETRY_S)

    def _handle_now(self, message: object) -> None:
        self._handle(message, time.monotonic())

    def _handle(self, message: object, now: float) -> None:
        match message:
            case TableChanged(table=table):
                self._table = table
                self._update_targets()
            case MembersChanged(members=members):
                self._members = members
                self._update_targets()
            case Registered(fence=fence):
                self.fence = fence
                event('registered', fence=fence)
            case EngineStateRead(requested_at=requested_at, state=state):
                self._tracker.update(requested_at, state)
            case OrderEnded():
                self._order_ended(message, now)
            case _:
                self._copies.handle(message, now)

    def _update_targets(self) -> None:
        if not self._is_engine:
            self.gate.set_services(frozenset(self.services()))
            return
        plan = plan_hosting(
            self._table, self._members, self._own, self._policy
        )
        for row in plan.targets:
            self._switch(row)
        for row, switch in self._switches.items():
            switch.set_target(
                plan.targets.get(row), plan.predecessors.get(row)
            )
        self._peers.set_wanted(plan.peers)
        self._copies.set_targets(
            list(plan.targets.values()), plan.hosts, time.monotonic()
        )

    def _switch(self, key: tuple[str, str]) -> RowSwitch:
        if key not in self._switches:
            self._switches[key] = RowSwitch(*key)
        return self._switches[key]

    def _order_ended(self, ended: OrderEnded, now: float) -> None:
        order = ended.order
        self._tracker.order_sent(now)
        self._switch((order.kind, order.name)).order_ended(ended.outcome, now)
        if isinstance(ended.outcome, OrderRefused):
            warn(
                'order_refused',
                digest=order.digest,
                fence=order.fence,
                engine_fence=ended.outcome.fence,
            )

    def _step(self, now: float) -> float:
        for weights in self.gate.take_mismatched():
            warn('answer_of_other_weights', digest=weights.digest)
            self._tracker.mark_doubtful(weights, now)
        # Chunks arrive hundreds of times a second; rows needn't be checked
        # after each of them.
        if self._is_engine and now - self._rows_checked_at >= ROW_CHECK_S:
            self._rows_checked_at = now
            self._count_live_bytes(now)
            self._add_loaded_rows()
            self._check_superseded()
            for switch in self._switches.values():
                self._step_row(switch, now)
        return self._copies.tick(now)

    def _count_live_bytes(self, now: float) -> None:
        total = self._live_bytes()
        # The total falls when a link with an entry is closed.
        self._copies.note_live_bytes(
            max(0, total - self._counted_live_bytes), now
        )
        self._counted_live_bytes = total

    def _add_loaded_rows(self) -> None:
        # Weights that were loaded before this agent started must be unloaded
        # too if no row names them.
        for kind, name in self._tracker.rows():
            self._switch((kind, name))

    def _check_superseded(self) -> None:
        is_superseded = self.fence != NO_FENCE and self._tracker.is_superseded(
            self.fence
        )
        if is_superseded and not self._is_superseded:
            # Another agent has taken over this instance. Requests admitted
            # here could be answered by weights that it switches to.
            warn('superseded', fence=self.fence)
            self.gate.close_all()
        self._is_superseded = is_superseded

    def _step_row(self, switch: RowSwitch, now: float) -> None:
        loaded = self._tracker.loaded(switch.kind, switch.name)
        loading = self._tracker.loading(switch.kind, switch.name)
        if switch.observe(loaded, loading, self._tracker.requested_at, now):
            warn('order_failed', row=f'{switch.kind}/{switch.name}')
        if self._is_superseded:
            return
        while True:
            step = switching.next_step(self._row_state(switch, now))
            if isinstance(step, switching.OpenGate):
                self._open(switch, step.digest)
            elif isinstance(step, switching.CloseGate):
                self._shut(switch, step.digest)
            else:
                break
        if isinstance(step, switching.Load | switching.Unload):
            self._send_order(switch, step, now)
        if switch.target is not None:
            digest = switch.target.digest
            self._copies.set_engine_phase(
                digest,
                digest in loading,
                self.gate.is_open(weights_of(switch, digest)),
            )

    def _row_state(self, switch: RowSwitch, now: float) -> switching.RowState:
        target = switch.target
        digest = target.digest if target else ''
        loaded = self._tracker.loaded(switch.kind, switch.name)
        gates = [
            gate
            for gate in self.gate.states()
            if (gate.weights.kind, gate.weights.name)
            == (switch.kind, switch.name)
        ]
        copy = self._copies.complete_copy(digest) if digest else None
        return switching.RowState(
            wanted=digest,
            complete=copy is not None,
            loaded=loaded,
            loading=self._tracker.loading(switch.kind, switch.name),
            is_open=frozenset(g.weights.digest for g in gates if g.is_open),
            in_flight={g.weights.digest: g.in_flight for g in gates},
            may_load=target is not None and self._may_load(switch, now),
            settled=target is not None and self._is_settled(target),
            base_loaded=target is not None and self._is_base_loaded(target),
            fits_two_versions=switch.fits_two_versions,
        )

    def _may_load(self, switch: RowSwitch, now: float) -> bool:
        # A load interrupts nothing if no version is loaded yet.
        if not self._tracker.loaded(switch.kind, switch.name):
            return True
        digest = switch.target.digest if switch.target else ''
        completed_at = self._copies.completed_at(digest)
        if completed_at is None:
            return False
        name = switch.predecessor
        known = pacing.Predecessor(
            is_open=name is not None
            and self._copies.is_served_by(name, digest),
            gone=name in self._peers.unreachable(),
        )
        return pacing.may_load(name, known, completed_at, now)

    def _is_settled(self, target: Target) -> bool:
        weights = Weights(target.kind, target.name, target.digest)
        settle_s = switching.settle_s(self._copies.size_of(target.digest))
        return self.fence != NO_FENCE and self._tracker.is_settled(
            weights, self.fence, target.checks_fencing, settle_s
        )

    def _is_base_loaded(self, target: Target) -> bool:
        if target.kind != 'adapter':
            return True
        base = self._switch(('model', target.base)).target
        loaded = self._tracker.loaded('model', target.base)
        return base is not None and base.digest in loaded

    def _open(self, switch: RowSwitch, digest: str) -> None:
        base = switch.target.base if switch.target else ''
        self.gate.open(weights_of(switch, digest), base)
        event('gate_opened', row=f'{switch.kind}/{switch.name}', digest=digest)

    def _shut(self, switch: RowSwitch, digest: str) -> None:
        weights = weights_of(switch, digest)
        self.gate.close(weights)
        event(
            'gate_shut',
            row=f'{switch.kind}/{switch.name}',
            digest=digest,
            in_flight=self.gate.in_flight(weights),
        )

    def _send_order(
        self,
        switch: RowSwitch,
        step: switching.Load | switching.Unload,
        now: float,
    ) -> None:
        if self.fence == NO_FENCE or not switch.may_order(now):
            return
        order = switch.make_order(
            step,
            self.fence,
            self._copies.size_of(step.digest),
            self._source(),
        )
        switch.order_sent(order)
        self._tracker.order_sent(now)
        self._engine.orders.put(order)
        event(
            'order_given',
            order=order.order,
            row=f'{switch.kind}/{switch.name}',
            digest=order.digest,
            fence=order.fence,
        )


def manifest_header(manifest: Manifest) -> str:
    """Return the value of the header Burdockchute-Manifest."""
    return base64.b64encode(serialize_manifest(manifest)).decode()
