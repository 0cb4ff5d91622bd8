"""Runs the consensus group or the leader of the fleet under random faults in virtual time.

Example:
  python tools/faults.py --seed 0 --count 10000
  python tools/faults.py --seed 4711 --trace
  python tools/faults.py --fleet --seed 0 --count 1000
  python tools/faults.py --long-running --seed 0 --count 1000
  python tools/faults.py --growing --seed 0 --count 1000
  python tools/faults.py --replacing --seed 0 --count 1000
"""

import argparse
import sys
import time
from collections.abc import Callable
from pathlib import Path

import anyio
from loguru import logger

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from bench.faults.consensus import Options, Simulation  # noqa: E402 (needs the path)
from bench.faults.consensus_checkers import Violation  # noqa: E402
from bench.faults.fleet import FleetOptions, FleetSimulation  # noqa: E402

# A group that is formed by three of its five voters, as on the platform of the users.
GROWING_GROUP = Options(voters=5, founders=3, spares=3)


def print_with_time(message: str) -> None:
    """Print a log line with the virtual time of the running event loop."""
    print(f"{anyio.current_time():9.4f} {message}", end="")


def run_group(
    seed: int, trace: bool, options: Options | None = None, replaces_machines: bool = False
) -> int:
    """Run the consensus group; return the number of acknowledged commands.

    Raises:
      Violation: an invariant does not hold.
    """
    simulation = Simulation(seed, options, trace, replaces_machines)
    try:
        simulation.run()
    finally:
        for line in simulation.trace or ():
            print(line)
    return simulation.acknowledged


def run_growing_group(seed: int, trace: bool) -> int:
    """Run a group that grows to five voters, like `run_group`."""
    return run_group(seed, trace, GROWING_GROUP)


def run_group_of_replaced_machines(seed: int, trace: bool) -> int:
    """Run a group whose machines are lost for good and replaced, like `run_group`."""
    return run_group(seed, trace, replaces_machines=True)


def run_fleet(seed: int, trace: bool, options: FleetOptions | None = None) -> int:
    """Run the leader of the fleet; return the number of accepted jobs.

    Raises:
      Violation: an invariant does not hold.
    """
    simulation = FleetSimulation(seed, options or FleetOptions())
    simulation.is_quiet = not trace
    simulation.run()
    return simulation.event_counts["accepted"]


def run_long_running(seed: int, trace: bool) -> int:
    """Run the leader of the fleet with long-running jobs, like `run_fleet`."""
    return run_fleet(seed, trace, FleetOptions(long_running=True))


def main() -> int:
    """Run the seeds; return 1 if any of them violated an invariant."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=0, help="the first seed")
    parser.add_argument("--count", type=int, default=1, help="the number of seeds")
    parser.add_argument("--trace", action="store_true", help="print every event")
    kind = parser.add_mutually_exclusive_group()
    kind.add_argument("--fleet", action="store_true", help="run the leader of the fleet")
    kind.add_argument(
        "--long-running", action="store_true", help="run it with long-running jobs as well"
    )
    kind.add_argument(
        "--growing", action="store_true", help="run a group that grows to five voters"
    )
    kind.add_argument(
        "--replacing", action="store_true", help="also lose machines for good and replace them"
    )
    arguments = parser.parse_args()
    logger.remove()
    if arguments.trace:
        logger.add(print_with_time, format="{message}")
    run: Callable[[int, bool], int] = run_group
    if arguments.fleet:
        run = run_fleet
    elif arguments.long_running:
        run = run_long_running
    elif arguments.growing:
        run = run_growing_group
    elif arguments.replacing:
        run = run_group_of_replaced_machines
    started_s = time.monotonic()
    failed = acknowledged = 0
    for seed in range(arguments.seed, arguments.seed + arguments.count):
        try:
            acknowledged += run(seed, arguments.trace)
        except Violation as violation:
            failed += 1
            print(f"seed {seed}: {violation}")
    took_s = time.monotonic() - started_s
    print(f"{arguments.count} seeds, {failed} failed, {acknowledged} acknowledged, {took_s:.1f} s")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
