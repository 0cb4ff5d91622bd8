"""Runs one scenario and prints its timeline and the failed expectations.

Example:
  python tools/scenario.py tests/scenarios/wave.scenario
"""

import argparse
import sys
from pathlib import Path

from marigolddoor_standins.scenarios import ScenarioError, parse, run


def main() -> int:
    """Return 0 if every expectation holds, 1 if one fails and 2 if the file is invalid."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", type=Path, help="a scenario file")
    file: Path = parser.parse_args().file
    try:
        outcome = run(parse(file.read_text()))
    except ScenarioError as error:
        print(f"{file}: {error}", file=sys.stderr)
        return 2
    print("\n".join(outcome.timeline))
    for problem in outcome.problems:
        print(f"FAILED: {problem}")
    return 1 if outcome.problems else 0


if __name__ == "__main__":
    sys.exit(main())
