"""Runs the command line sessions again, shows what differs from the golden files, and writes them.

Example:
  python tools/renew_golden.py --check
"""

import argparse
import difflib
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def main() -> int:
    """Renew the golden files, or only show the difference and return 1 if there is one."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="write nothing")
    options = parser.parse_args()
    sys.path.insert(0, str(ROOT))
    from tests.operator.sessions import GOLDEN, SESSIONS, play

    differs = False
    for session in SESSIONS:
        file = GOLDEN / f"{session.name}.txt"
        old = file.read_text() if file.exists() else ""
        new = play(session)
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
