"""Several engine stand-ins in one process, to save memory in large runs."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402

import gevent  # noqa: E402

from burdockchute_testing.standins import batch  # noqa: E402
from burdockchute_testing.standins import engine  # noqa: E402
from burdockchute_testing.standins import serving  # noqa: E402


def main() -> None:
    """Serve engines until terminated; print their ports on one line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--count', type=int, required=True)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--token-interval-s', type=float, default=0.005)
    parser.add_argument('--load-s', type=float, default=0.0)
    args = parser.parse_args()
    profile = batch.EngineProfile()._replace(
        token_interval_s=args.token_interval_s
    )
    servers = [
        serving.make_server(
            engine.Engine(
                profile, load_s=args.load_s, seed=args.seed + number
            ).handle,
            0,
        )
        for number in range(args.count)
    ]
    ports = ','.join(str(server.server_port) for server in servers)
    print(f'ready ports={ports}', flush=True)
    gevent.wait()


if __name__ == '__main__':
    main()
