"""The version gate: who may reach the upstream, by digest.

A request is pinned to a digest when an entry places it. By the time that it
reaches the upstream the weights may have been switched, and it would get an
answer of another version than the one promised, or of two versions. So each
request enters the gate of its digest just before it is handed on and leaves
when it has ended; a digest's gate opens only when the upstream has reported
those weights loaded, and the weights are unloaded only when its gate is shut
and nobody is inside. `enter` checks and counts in one step without yielding,
so no switch can come between the two.

An adapter answers with its base model, so a request to an adapter is inside
the gates of both, and neither changes under it.
"""

from __future__ import annotations

from typing import NamedTuple

RETRY_AFTER_S = 1.0


class Weights(NamedTuple):
    """Names one set of weights of a row; `kind` is model or adapter."""

    kind: str
    name: str
    digest: str


class Refusal(NamedTuple):
    """Why a request was not let in; it was certainly not run."""

    reason: str
    retry_after_s: float = RETRY_AFTER_S


class GateState(NamedTuple):
    """One gate: whether it is open and how many requests are inside."""

    weights: Weights
    is_open: bool
    in_flight: int


class Gate:
    """All gates of one upstream."""

    def __init__(self) -> None:
        self._open: set[Weights] = set()
        self._inside: dict[Weights, int] = {}
        self._entered: dict[tuple[str, str, str], list[list[Weights]]] = {}
        self._doubted: set[Weights] = set()
        self._bases: dict[str, str] = {}
        self._services: frozenset[str] = frozenset()

    def enter(
        self, target: str, digest: str, adapter_digest: str
    ) -> Refusal | None:
        """Let a request in, or say why not.

        `target` is the name of a model, adapter or service row; digests are
        empty where the request has none.
        """
        if not digest and not adapter_digest:
            return self._enter_service(target)
        wanted = self._wanted(target, digest, adapter_digest)
        if wanted is None:
            return Refusal(f'adapter {target!r} is not loaded')
        for weights in wanted:
            if weights not in self._open:
                return Refusal(
                    f'{weights.kind} {weights.name!r} is not open '
                    f'at {weights.digest!r}'
                )
        for weights in wanted:
            self._inside[weights] = self._inside.get(weights, 0) + 1
        pinned = (target, digest, adapter_digest)
        self._entered.setdefault(pinned, []).append(wanted)
        return None

    def leave(self, target: str, digest: str, adapter_digest: str) -> None:
        """Count a request out that was let in.

        It leaves the gates that it entered, also if the adapter's row has
        named another base meanwhile: its old base would else count a request
        for ever and never be unloaded.
        """
        pinned = (target, digest, adapter_digest)
        entered = self._entered.get(pinned)
        if not entered:
            return
        wanted = entered.pop()
        if not entered:
            del self._entered[pinned]
        for weights in wanted:
            left = self._inside.get(weights, 0) - 1
            if left > 0:
                self._inside[weights] = left
            else:
                self._inside.pop(weights, None)

    def open(self, weights: Weights, base: str = '') -> None:
        """Let requests in; `base` names the model of an adapter."""
        if weights.kind == 'adapter':
            self._bases[weights.name] = base
        self._open.add(weights)

    def close(self, weights: Weights) -> None:
        """Let no more requests in; those inside stay."""
        self._open.discard(weights)

    def mark_mismatched(
        self, target: str, digest: str, adapter_digest: str
    ) -> None:
        """Shut the gates of a request whose answer named other weights.

        They stay shut until the upstream's reported state has been read
        again and has stayed the same for longer than an order can take.
        """
        for weights in self._wanted(target, digest, adapter_digest) or []:
            self.close(weights)
            self._doubted.add(weights)

    def take_mismatched(self) -> frozenset[Weights]:
        """Give the weights doubted since the last call."""
        doubted = frozenset(self._doubted)
        self._doubted.clear()
        return doubted

    def close_all(self) -> None:
        """Let nobody in until gates are opened again."""
        self._open.clear()

    def set_services(self, names: frozenset[str]) -> None:
        """Say which plain services the upstream runs."""
        self._services = names

    def is_open(self, weights: Weights) -> bool:
        """Tell whether requests for these weights are let in."""
        return weights in self._open

    def in_flight(self, weights: Weights) -> int:
        """Give how many requests are inside."""
        return self._inside.get(weights, 0)

    def states(self) -> list[GateState]:
        """Give every gate that is open or has requests inside."""
        known = self._open | set(self._inside)
        return [
            GateState(weights, weights in self._open, self.in_flight(weights))
            for weights in sorted(known)
        ]

    def _enter_service(self, target: str) -> Refusal | None:
        if target in self._services:
            return None
        return Refusal(f'service {target!r} is not run here')

    def _wanted(
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
