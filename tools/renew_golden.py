"""Renews the golden files of command line sessions and scenarios, and prints the differences.

Example:
  python tools/renew_golden.py --check
"""

import argparse
import difflib
import sys
from functools import partial
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def main() -> int:
    """Renew the golden files, or with `--check` only print differences and return 1 if any."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--check",
        action="store_true",
        help="print the differences without writing files; exit with 1 if any",
    )
    options = parser.parse_args()
    sys.path.insert(0, str(ROOT))
    from tests.operator.sessions import GOLDEN, SESSIONS, run_session
    from tests.scenarios.files import FILES, golden_file, run_to_timeline

    renewals = [
        (GOLDEN / f"{session.name}.txt", partial(run_session, session)) for session in SESSIONS
    ]
    renewals += [(golden_file(file), partial(run_to_timeline, file)) for file in FILES]
    differs = False
    for file, renew in renewals:
        old = file.read_text() if file.exists() else ""
        new = renew()
        if old == new:
            continue
        differs = True
        sys.stdout.writelines(
            difflib.unified_diff(
                old.splitlines(keepends=True),
                new.splitlines(keepends=True),
                f"{file.name} before",
                f"{file.name} after",
            )
        )
        if not options.check:
            file.write_text(new)
    if not differs:
        print("no golden file differs")
    return 1 if differs and options.check else 0


if __name__ == "__main__":
    sys.exit(main())
