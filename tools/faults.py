"""Runs replicas of the consensus group under random faults in virtual time.

Example:
  python tools/faults.py --seed 0 --count 10000
  python tools/faults.py --seed 4711 --trace
"""

import argparse
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from bench.faults.consensus import Simulation  # noqa: E402 (needs the path)
from bench.faults.consensus_checkers import Violation  # noqa: E402


def main() -> int:
    """Run the seeds; return 1 if an invariant did not hold in one of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=0, help="the first seed")
    parser.add_argument("--count", type=int, default=1, help="how many seeds")
    parser.add_argument("--trace", action="store_true", help="print every event")
    arguments = parser.parse_args()
    started_s = time.monotonic()
    failed = acknowledged = 0
    for seed in range(arguments.seed, arguments.seed + arguments.count):
        simulation = Simulation(seed, trace=arguments.trace)
        try:
            simulation.run()
        except Violation as violation:
            failed += 1
            print(f"seed {seed}: {violation}")
        finally:
            for line in simulation.trace or ():
                print(line)
        acknowledged += simulation.acknowledged
    took_s = time.monotonic() - started_s
    print(f"{arguments.count} seeds, {failed} failed, {acknowledged} acknowledged, {took_s:.1f} s")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
