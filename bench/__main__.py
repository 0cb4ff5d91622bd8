"""Runs the measurements, prints one row per figure and writes build/bench.json.

A measurement is a module of this package with a function `rows() -> list[Row]`.
"""

import argparse
import importlib
import json
import pkgutil
import sys
from pathlib import Path

import bench
from bench.rows import Row

ROOT = Path(__file__).resolve().parent.parent
OUTPUT = ROOT / "build" / "bench.json"


def measurements() -> list[str]:
    """Return the names of the modules that measure something."""
    names = [module.name for module in pkgutil.iter_modules(bench.__path__)]
    return sorted(name for name in names if name.startswith("measure_"))


def print_row(row: Row) -> None:
    """Print name, value, unit and baseline of a row, then whether the goal is met."""
    verdict = "met" if row.is_met() else "MISSED"
    print(f"{row.name} {row.value:.6g} {row.unit} {row.baseline:.6g}  # {row.goal}: {verdict}")


def main() -> int:
    """Run the named measurements, or all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="modules to run, without measure_")
    arguments = parser.parse_args()
    rows: list[Row] = []
    for name in measurements():
        if arguments.names and name.removeprefix("measure_") not in arguments.names:
            continue
        for row in importlib.import_module(f"bench.{name}").rows():
            print_row(row)
            rows.append(row)
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(
        json.dumps(
            [
                {
                    "name": row.name,
                    "value": row.value,
                    "unit": row.unit,
                    "baseline": row.baseline,
                    "target": str(row.goal),
                }
                for row in rows
            ],
            indent=1,
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
