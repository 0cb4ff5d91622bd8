"""Renews the golden files of command line sessions and scenarios, and shows what differs.

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
    """Renew the golden files, or only show the difference and return 1 if there is one."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="write nothing")
    options = parser.parse_args()
    sys.path.insert(0, str(ROOT))
    from tests.operator.sessions import GOLDEN, SESSIONS, run_session
    from tests.scenarios.files import FILES, golden_of, timeline_of

    renewals = [
        (GOLDEN / f"{session.name}.txt", partial(run_session, session)) for session in SESSIONS
    ]
    renewals += [(golden_of(file), partial(timeline_of, file)) for file in FILES]
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
