"""What holding claims costs the gatherer of a stream (make bench-claims).

A pure measurement of the claim table: memory for each key that is held, with
a recorded answer of RECORDED_BYTES, processor time for each record applied,
and the size of a claim in the log.
"""

from __future__ import annotations

import time
import tracemalloc

from burdockchute.decisions import claims
from burdockchute.decisions.claims import Act
from burdockchute.decisions.claims import ClaimKey
from burdockchute.decisions.claims import ClaimTable
from burdockchute.model.outcomes import Answered
from burdockchute_testing.benches import results

BENCH = 'claims'
KEYS = 10_000
RECORDED_BYTES = 200
ISSUED = 1_700_000_000

# A twentieth of 7,600 requests a second are non-idempotent: an assumption.
CLAIMS_PER_S = 380
MEMORY_MB = 128.0


def main() -> None:
    """Measure and print."""
    batches = [claims.encode_batch(_acts(number)) for number in range(KEYS)]
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    table = ClaimTable()
    started = time.process_time()
    for batch in batches:
        for act in claims.decode_batch(batch):
            table.apply(act, float(ISSUED))
    passed = time.process_time() - started
    held = (tracemalloc.get_traced_memory()[0] - before) / KEYS
    tracemalloc.stop()
    case = f'{KEYS} keys'
    results.emit(BENCH, case, 'memory a key', held, 'B')
    results.emit(BENCH, case, 'decode, apply', passed / KEYS * 1e6, 'us a key')
    logged = sum(map(len, batches)) / KEYS
    results.emit(BENCH, case, 'log bytes a key', logged, 'B')
    keys = CLAIMS_PER_S * claims.KEEP_S / claims.STREAMS
    case = f'worked out for {CLAIMS_PER_S} claims/s'
    results.emit(BENCH, case, 'keys a stream', keys, '1')
    results.emit(
        BENCH, case, 'memory a stream', keys * held / 1e6, 'MB', MEMORY_MB
    )


def _acts(number: int) -> list[Act]:
    key = ClaimKey(f'customer-{number % 10}', f'{ISSUED}-dispatch-{number}')
    outcome = Answered(200, 'application/json', b'x' * RECORDED_BYTES, '', '')
    attempt = f'{number:032x}'
    digest = f'{number:064x}'
    return [
        Act(claims.CLAIM, key, attempt, digest),
        Act(
            claims.FINISH,
            key,
            attempt,
            digest,
            claims.encode_outcome(outcome),
        ),
    ]


if __name__ == '__main__':
    main()
