"""The agent program, run with one of the compared policies."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import functools  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402

from burdockchute_agent import app  # noqa: E402
from burdockchute_agent import main as agent_main  # noqa: E402
from burdockchute_agent.weights_task import WeightsTask  # noqa: E402
from burdockchute_testing.benches.rollout_policies import POLICIES  # noqa: E402

POLICY_VARIABLE = 'ROLLOUT_POLICY'
SEED_VARIABLE = 'ROLLOUT_SEED'


def main() -> int:
    """Run the agent with policy and seed from the environment."""
    app.WeightsTask = functools.partial(  # type: ignore[misc, assignment]
        WeightsTask,
        policy=POLICIES[os.environ[POLICY_VARIABLE]],
        seed=int(os.environ[SEED_VARIABLE]),
    )
    return agent_main.main()


if __name__ == '__main__':
    sys.exit(main())
