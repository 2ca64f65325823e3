"""The version gate: admits requests to the upstream by digest.

A request is pinned to a digest when an entry places it. By the time it
reaches the upstream the weights may have been switched, and the answer would
come from another version than the promised one, or from two versions. Each
request therefore enters the gate of its digest just before it is sent, and
leaves it when it has ended. A gate opens only once the upstream has reported
the weights as loaded, and weights are unloaded only once their gate is closed
and no request is in flight. `enter` checks and counts without yielding, so
that no switch can happen between the two.

An adapter runs on its base model, so a request to an adapter enters the gates
of both, and neither changes while it runs.
"""

from __future__ import annotations

from typing import NamedTuple

RETRY_AFTER_S = 1.0


class Weights(NamedTuple):
    """Identifies the weights of a row; `kind` is model or adapter."""

    kind: str
    name: str
    digest: str


class Refusal(NamedTuple):
    """Why a request was not admitted; it was certainly not run."""

    reason: str
    retry_after_s: float = RETRY_AFTER_S


class GateState(NamedTuple):
    """One gate: whether it is open and how many requests are in flight."""

    weights: Weights
    is_open: bool
    in_flight: int


class Gate:
    """The gates of one upstream."""

    def __init__(self) -> None:
        self._open: set[Weights] = set()
        self._in_flight: dict[Weights, int] = {}
        self._entered: dict[tuple[str, str, str], list[list[Weights]]] = {}
        self._mismatched: set[Weights] = set()
        self._bases: dict[str, str] = {}
        self._services: frozenset[str] = frozenset()

    def enter(
        self, target: str, digest: str, adapter_digest: str
    ) -> Refusal | None:
        """Admit a request, or return why it is refused.

        `target` is the name of a model, adapter or service row; digests are
        empty where the request has none.
        """
        if not digest and not adapter_digest:
            return self._enter_service(target)
        required = self._required_weights(target, digest, adapter_digest)
        if required is None:
            return Refusal(f'adapter {target!r} is not loaded')
        for weights in required:
            if weights not in self._open:
                return Refusal(
                    f'{weights.kind} {weights.name!r} is not open '
                    f'at {weights.digest!r}'
                )
        for weights in required:
            self._in_flight[weights] = self._in_flight.get(weights, 0) + 1
        request_key = (target, digest, adapter_digest)
        self._entered.setdefault(request_key, []).append(required)
        return None

    def leave(self, target: str, digest: str, adapter_digest: str) -> None:
        """Count an admitted request out.

        It leaves the gates that it entered, even if the adapter's row names
        another base by now: the old base would otherwise keep a request in
        flight for good and never be unloaded.
        """
        request_key = (target, digest, adapter_digest)
        entered = self._entered.get(request_key)
        if not entered:
            return
        required = entered.pop()
        if not entered:
            del self._entered[request_key]
        for weights in required:
            left = self._in_flight.get(weights, 0) - 1
            if left > 0:
                self._in_flight[weights] = left
            else:
                self._in_flight.pop(weights, None)

    def open(self, weights: Weights, base: str = '') -> None:
        """Admit requests; `base` is the base model of an adapter."""
        if weights.kind == 'adapter':
            self._bases[weights.name] = base
        self._open.add(weights)

    def close(self, weights: Weights) -> None:
        """Admit no more requests; those in flight continue."""
        self._open.discard(weights)

    def mark_mismatched(
        self, target: str, digest: str, adapter_digest: str
    ) -> None:
        """Close the gates of a request whose answer named other weights.

        They stay closed until the upstream's reported state has been read
        again and has stayed the same for longer than an order can take.
        """
        for weights in (
            self._required_weights(target, digest, adapter_digest) or []
        ):
            self.close(weights)
            self._mismatched.add(weights)

    def take_mismatched(self) -> frozenset[Weights]:
        """Return the weights marked as mismatched since the last call."""
        mismatched = frozenset(self._mismatched)
        self._mismatched.clear()
        return mismatched

    def close_all(self) -> None:
        """Admit no requests until gates are opened again."""
        self._open.clear()

    def set_services(self, names: frozenset[str]) -> None:
        """Set the plain services that the upstream runs."""
        self._services = names

    def is_open(self, weights: Weights) -> bool:
        """Whether requests for these weights are admitted."""
        return weights in self._open

    def in_flight(self, weights: Weights) -> int:
        """Return the number of requests in flight."""
        return self._in_flight.get(weights, 0)

    def states(self) -> list[GateState]:
        """Return every gate that is open or has requests in flight."""
        known = self._open | set(self._in_flight)
        return [
            GateState(weights, weights in self._open, self.in_flight(weights))
            for weights in sorted(known)
        ]

    def _enter_service(self, target: str) -> Refusal | None:
        if target in self._services:
            return None
        return Refusal(f'service {target!r} is not run here')

    def _required_weights(
        self, target: str, digest: str, adapter_digest: str
    ) -> list[Weights] | None:
        if not adapter_digest:
            return [Weights('model', target, digest)] if digest else []
        base = self._bases.get(target)
        if base is None:
            return None
        return [
            Weights('model', base, digest),
            Weights('adapter', target, adapter_digest),
        ]
