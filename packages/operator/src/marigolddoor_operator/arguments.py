"""The argument parser of the command line."""

import argparse
from pathlib import Path
from typing import TYPE_CHECKING, TypeAlias

__all__ = ["EXIT_CODES", "build_parser"]

if TYPE_CHECKING:
    Commands: TypeAlias = argparse._SubParsersAction[argparse.ArgumentParser]

EXIT_CODES = """\
exit codes:
  0  done
  1  refused, or failed
  2  wrong usage or invalid input
  3  conflict: another change or answer came first
  4  unreachable, or no quorum; nothing was changed
  5  outcome unknown; run the command again with the same --request-id
"""


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser with every command."""
    parser = argparse.ArgumentParser(
        prog="marigolddoor",
        description="Declares, watches and maintains a fleet.",
        epilog=EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    _add_declaration_commands(commands)
    _add_report_commands(commands)
    _add_change_commands(commands)
    _add_timeline(commands)
    return parser


def _add_declaration_commands(commands: "Commands") -> None:
    validate = _add(
        commands,
        "validate",
        "check a declaration without calling the system",
        "marigolddoor validate organisation.toml --template template.toml",
        remote=False,
    )
    plan = _add(
        commands,
        "plan",
        "show what a declaration would change",
        "marigolddoor plan organisation.toml --template template.toml",
    )
    apply = _add(
        commands,
        "apply",
        "commit a declaration as the next revision",
        "marigolddoor apply organisation.toml --template template.toml --base 41",
    )
    for command in (validate, plan, apply):
        command.add_argument("organisation", type=Path, metavar="FILE", help="the organisation")
        command.add_argument(
            "--template",
            type=Path,
            metavar="FILE",
            help="the template; without it, the one that the organisation file names",
        )
    apply.add_argument(
        "--base",
        type=_revision,
        metavar="REVISION",
        help="the revision that the change is based on; without it, the current one",
    )
    _add_request_id(apply)


def _add_report_commands(commands: "Commands") -> None:
    _add(commands, "status", "show the state of the system", "marigolddoor status --json")
    pools = _add(commands, "pools", "show pools and their VMs", "marigolddoor pools --pool orders")
    pools.add_argument("--pool", metavar="POOL", help="only this pool, with its VMs")
    jobs = _add(commands, "jobs", "show jobs and their tasks", "marigolddoor jobs --job settle")
    jobs.add_argument("--job", metavar="JOB", help="only this job")
    questions = _add(
        commands, "questions", "show questions to operators", "marigolddoor questions --all"
    )
    questions.add_argument(
        "--all", action="store_true", help="include closed and answered questions"
    )


def _add_change_commands(commands: "Commands") -> None:
    drain = _add(
        commands,
        "drain",
        "request maintenance of a pool or a VM now, within its budget",
        "marigolddoor drain --vm vm-17",
    )
    subject = drain.add_mutually_exclusive_group(required=True)
    subject.add_argument("--pool", metavar="POOL", help="every VM of the pool")
    subject.add_argument("--vm", metavar="VM", help="one VM")
    _add_request_id(drain)
    answer = _add(
        commands,
        "answer",
        "answer a question with one of its choices",
        "marigolddoor answer q17 reboot",
    )
    answer.add_argument("question", metavar="QUESTION", help="the id of the question")
    answer.add_argument("choice", metavar="CHOICE", help="the name of a choice")
    _add_request_id(answer)


def _add_timeline(commands: "Commands") -> None:
    timeline = _add(
        commands,
        "timeline",
        "show events with their processes and causes",
        "marigolddoor timeline --vm vm-17 --html vm-17.html",
    )
    for name in ("request", "vm", "pool", "job", "question"):
        timeline.add_argument(
            f"--{name}", metavar=name.upper(), help=f"only events about this {name}"
        )
    timeline.add_argument(
        "--revision", type=_revision, metavar="REVISION", help="only events about this revision"
    )
    timeline.add_argument("--limit", type=int, metavar="N", help="at most N events per process")
    timeline.add_argument(
        "--follow", action="store_true", help="keep printing new events until interrupted"
    )
    timeline.add_argument("--svg", type=Path, metavar="FILE", help="write an SVG image to FILE")
    timeline.add_argument("--html", type=Path, metavar="FILE", help="write an HTML page to FILE")
    timeline.add_argument(
        "--file",
        type=Path,
        action="append",
        default=[],
        metavar="FILE",
        help="read the timeline file of a process instead of calling the system; repeat to merge",
    )


def _add(
    commands: "Commands", name: str, text: str, example: str, remote: bool = True
) -> argparse.ArgumentParser:
    command: argparse.ArgumentParser = commands.add_parser(
        name,
        help=text,
        description=text[0].upper() + text[1:] + ".",
        epilog=f"example:\n  {example}\n\n{EXIT_CODES}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    command.add_argument("--json", action="store_true", help="print JSON")
    if remote:
        command.add_argument(
            "--endpoint",
            action="append",
            default=[],
            metavar="URL",
            help="a control process; may be repeated, the next is tried if one can't be reached",
        )
        command.add_argument("--settings", type=Path, metavar="FILE", help="the settings file")
        command.add_argument(
            "--token-file", type=Path, metavar="FILE", help="the file with the token, mode 0600"
        )
    return command


def _add_request_id(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        "--request-id",
        metavar="ID",
        help="repeat a change whose outcome is unknown; it takes effect at most once",
    )


def _revision(text: str) -> int:
    if not (text.isascii() and text.isdigit() and len(text) <= 18):
        raise argparse.ArgumentTypeError(f"{text!r} is not a revision; allowed: 0 or more")
    return int(text)
