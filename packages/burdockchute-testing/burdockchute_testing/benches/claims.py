"""Cost of holding claims in the collector of a stream (make bench-claims).

Measures the claim table alone: memory per key held, with a recorded answer
of RECORDED_BYTES, processor time per record applied, and the size of a claim
in the log.
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
ISSUED_AT_S = 1_700_000_000

# Assumes that a twentieth of 7,600 requests per second are non-idempotent.
CLAIMS_PER_S = 380
MAX_MEMORY_MB = 128.0


def main() -> None:
    """Run the measurement and print the results."""
    batches = [claims.encode_batch(_acts(number)) for number in range(KEYS)]
    tracemalloc.start()
    traced_before = tracemalloc.get_traced_memory()[0]
    table = ClaimTable()
    started = time.process_time()
    for batch in batches:
        for act in claims.decode_batch(batch):
            table.apply(act, float(ISSUED_AT_S))
    elapsed_s = time.process_time() - started
    bytes_per_key = (tracemalloc.get_traced_memory()[0] - traced_before) / KEYS
    tracemalloc.stop()
    case = f'{KEYS} keys'
    results.emit(BENCH, case, 'memory a key', bytes_per_key, 'B')
    results.emit(
        BENCH, case, 'decode, apply', elapsed_s / KEYS * 1e6, 'us a key'
    )
    log_bytes_per_key = sum(map(len, batches)) / KEYS
    results.emit(BENCH, case, 'log bytes a key', log_bytes_per_key, 'B')
    keys_per_stream = CLAIMS_PER_S * claims.KEEP_S / claims.STREAMS
    case = f'worked out for {CLAIMS_PER_S} claims/s'
    results.emit(BENCH, case, 'keys a stream', keys_per_stream, '1')
    results.emit(
        BENCH,
        case,
        'memory a stream',
        keys_per_stream * bytes_per_key / 1e6,
        'MB',
        MAX_MEMORY_MB,
    )


def _acts(number: int) -> list[Act]:
    key = ClaimKey(
        f'customer-{number % 10}', f'{ISSUED_AT_S}-dispatch-{number}'
    )
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
