"""The command `marigolddoor`."""

import os
import sys
from collections.abc import Sequence

import anyio
from marigolddoor_core import declaration

from marigolddoor_operator.arguments import build_parser
from marigolddoor_operator.commands import CommandContext, run_command
from marigolddoor_operator.errors import ExitCode

__all__ = ["main"]


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    options = build_parser().parse_args(arguments)
    try:
        return anyio.run(run_command, options, CommandContext(declaration, os.environ))
    except KeyboardInterrupt:
        # The usual end of `timeline --follow`; the outcome of an interrupted change is unknown.
        changes = ("apply", "drain", "answer")
        return ExitCode.UNKNOWN if options.command in changes else ExitCode.DONE
    except BrokenPipeError:
        # The reader of the output has closed it, as `head` does.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitCode.DONE


if __name__ == "__main__":
    sys.exit(main())
