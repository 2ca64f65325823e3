"""Send short requests to one URL and print latencies and errors as JSON.

Runs as a separate process, so that its work does not slow the servers that
it measures. Without a rate the load is closed loop. With a rate it is open
loop: requests go out at that rate whatever the replies, and latency counts
from the time at which a request was due, so that a server that falls behind
can't hide its delay.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
from collections.abc import Callable  # noqa: E402
import json  # noqa: E402
import time  # noqa: E402
from urllib import parse  # noqa: E402

import gevent  # noqa: E402
from gevent import queue  # noqa: E402
from geventhttpclient import HTTPClient  # noqa: E402
from geventhttpclient.response import HTTPParseError  # noqa: E402

TIMEOUT_S = 30.0


def main() -> None:
    """Generate the load and print its result."""
    args = _parse()
    latencies: list[float] = []
    errors: dict[str, int] = {}
    send = _make_sender(args, latencies, errors)
    start = time.monotonic()
    if args.rate:
        _open_loop(args, send, start)
    else:
        _closed_loop(args, send, start)
    seconds = time.monotonic() - start
    print(
        json.dumps(
            {'seconds': seconds, 'latencies': latencies, 'errors': errors}
        )
    )


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--url', required=True)
    parser.add_argument('--key', default='')
    parser.add_argument('--model', default='story')
    parser.add_argument('--digest', default='')
    parser.add_argument('--seconds', type=float, default=5.0)
    parser.add_argument('--concurrency', type=int, default=32)
    parser.add_argument('--rate', type=float, default=0.0)
    parser.add_argument('--max-tokens', type=int, default=1)
    parser.add_argument('--stream', action='store_true')
    return parser.parse_args()


def _make_sender(
    args: argparse.Namespace,
    latencies: list[float],
    errors: dict[str, int],
) -> Callable[[float], None]:
    parts = parse.urlsplit(args.url)
    client = HTTPClient(
        parts.hostname,
        parts.port,
        concurrency=args.concurrency,
        connection_timeout=TIMEOUT_S,
        network_timeout=TIMEOUT_S,
    )
    headers = {
        'Authorization': f'Bearer {args.key}',
        'Content-Type': 'application/json',
    }
    document = {'model': args.model, 'prompt': 'a b c', 'stream': args.stream}
    document['max_tokens'] = args.max_tokens
    if args.digest:
        document['digest'] = args.digest
    body = json.dumps(document).encode()

    def send(due: float) -> None:
        try:
            response = client.request('POST', '/v1/completions', body, headers)
            response.read()
            status = str(response.status_code)
        except (OSError, HTTPParseError) as exc:
            status = type(exc).__name__
        if status == '200':
            latencies.append(time.monotonic() - due)
        else:
            errors[status] = errors.get(status, 0) + 1

    return send


def _closed_loop(
    args: argparse.Namespace, send: Callable[[float], None], start: float
) -> None:
    def work() -> None:
        while time.monotonic() < start + args.seconds:
            send(time.monotonic())

    gevent.joinall([gevent.spawn(work) for _ in range(args.concurrency)])


def _open_loop(
    args: argparse.Namespace, send: Callable[[float], None], start: float
) -> None:
    due_times: queue.Queue = queue.Queue()

    def work() -> None:
        while (due_at := due_times.get()) is not None:
            send(due_at)

    workers = [gevent.spawn(work) for _ in range(args.concurrency)]
    for number in range(int(args.rate * args.seconds)):
        due_at = start + number / args.rate
        gevent.sleep(max(0.0, due_at - time.monotonic()))
        due_times.put(due_at)
    for _ in workers:
        due_times.put(None)
    gevent.joinall(workers)


if __name__ == '__main__':
    main()
