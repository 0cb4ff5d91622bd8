"""Runs the commands of the command line."""

import argparse
import json
import sys
import uuid
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TextIO, TypeVar

import anyio
from marigolddoor_core.errors import MarigolddoorError
from marigolddoor_core.ids import (
    JobId,
    PoolId,
    QuestionId,
    RequestId,
    Revision,
    VmId,
)
from marigolddoor_core.operations.interfaces import DeclarationRules
from marigolddoor_core.operations.reports import (
    ApplyReport,
    DoneReport,
    ErrorReport,
    JobsReport,
    PlanReport,
    PoolsReport,
    QuestionsReport,
    StatusReport,
)
from marigolddoor_core.operations.requests import (
    AnswerRequest,
    ApplyRequest,
    DrainRequest,
    PlanRequest,
)
from marigolddoor_core.plain_values import PlainValueError, from_plain, to_plain
from marigolddoor_core.timeline import Timeline, TimelineFilter

from marigolddoor_operator import formatting
from marigolddoor_operator.client import OperatorClient
from marigolddoor_operator.declarations import read_declaration_files
from marigolddoor_operator.errors import (
    ExitCode,
    InputFileError,
    RemoteOperationError,
    UnreachableError,
    exit_code,
)
from marigolddoor_operator.settings import load_operator_settings
from marigolddoor_operator.timeline_diagram import render_html, render_svg
from marigolddoor_operator.timeline_files import read_timeline_files

__all__ = ["CommandContext", "run_command"]

T = TypeVar("T")

FOLLOW_INTERVAL_S = 1.0


async def _pause(seconds: float) -> bool:
    await anyio.sleep(seconds)
    return True


@dataclass(frozen=True, slots=True)
class CommandContext:
    """Dependencies of a command. `pause` returns false to end `timeline --follow`."""

    rules: DeclarationRules
    environment: Mapping[str, str]
    output: TextIO = field(default_factory=lambda: sys.stdout)
    error_output: TextIO = field(default_factory=lambda: sys.stderr)
    new_request_id: Callable[[], RequestId] = lambda: RequestId(uuid.uuid4().hex)
    pause: Callable[[float], Awaitable[bool]] = _pause


async def run_command(options: argparse.Namespace, context: CommandContext) -> ExitCode:
    """Run the command that `options` selects and return its exit code."""
    command = Command(options, context)
    try:
        if options.command == "validate":
            command.validate()
        elif options.command == "timeline" and options.file:
            command.show_timeline_files()
        else:
            await command.run_remote()
    except MarigolddoorError as error:
        command.show_error(error)
        return exit_code(error)
    return command.code


class Command:
    """One invocation of a command with its options."""

    def __init__(self, options: argparse.Namespace, context: CommandContext) -> None:
        self.options = options
        self.context = context
        self.reported_gaps = ""
        self.code = ExitCode.DONE

    def show(self, report: Any, text: str) -> None:
        """Print a report as JSON or as text."""
        if self.options.json:
            text = json.dumps(to_plain(report), indent=2) + "\n"
        self.context.output.write(text)

    def show_error(self, error: MarigolddoorError) -> None:
        """Print an error as JSON to the output or as text to the error stream."""
        if isinstance(error, RemoteOperationError):
            report = error.report
        else:
            problems = tuple(str(problem) for problem in getattr(error, "problems", ()))
            report = ErrorReport(type(error).__name__, str(error), problems)
        if self.options.json:
            self.context.output.write(json.dumps(to_plain(report), indent=2) + "\n")
        else:
            self.context.error_output.write(formatting.error_text(report))

    async def run_remote(self) -> None:
        """Run a command that calls the system."""
        settings = load_operator_settings(
            self.options.settings,
            self.options.endpoint,
            self.options.token_file,
            self.context.environment,
        )
        run = {
            "plan": self.plan,
            "apply": self.apply,
            "status": self.status,
            "pools": self.pools,
            "jobs": self.jobs,
            "drain": self.drain,
            "questions": self.questions,
            "answer": self.answer,
            "timeline": self.timeline,
        }[self.options.command]
        async with OperatorClient(settings, self.context.pause) as client:
            await run(client)

    def validate(self) -> None:
        """Check a declaration without calling the system."""
        source = read_declaration_files(self.options.organisation, self.options.template)
        declaration = self.context.rules.read_declaration(
            source.organisation, source.template, source.organisation_file, source.template_file
        )
        counts = ", ".join(
            f"{name}: {len(parts)}"
            for name, parts in (
                ("services", declaration.services),
                ("pools", declaration.pools),
                ("teams", declaration.teams),
                ("jobs", declaration.jobs),
            )
        )
        self.show(declaration, f"{self.options.organisation.name}: correct ({counts})\n")

    async def plan(self, client: OperatorClient) -> None:
        """Show what a declaration would change."""
        source = read_declaration_files(self.options.organisation, self.options.template)
        report = _report(PlanReport, await client.query("/v1/plan", PlanRequest(source)))
        self.show(report, formatting.plan_text(report))
        if report.plan.blocked:
            self.code = ExitCode.REFUSED

    async def apply(self, client: OperatorClient) -> None:
        """Commit a declaration as the next revision."""
        source = read_declaration_files(self.options.organisation, self.options.template)
        base = self.options.base
        if base is None:
            base = _report(StatusReport, await client.read("/v1/status", {})).revision
        request_id = self.request_id()
        request = ApplyRequest(source, Revision(base), request_id)
        report = _report(ApplyReport, await client.change("/v1/apply", request, request_id))
        self.show(report, formatting.apply_text(report))

    async def status(self, client: OperatorClient) -> None:
        """Show the state of the system."""
        report = _report(StatusReport, await client.read("/v1/status", {}))
        self.show(report, formatting.status_text(report))
        self.warn_without_leader(report.from_leader)

    async def pools(self, client: OperatorClient) -> None:
        """Show pools."""
        query = self.query("pool")
        report = _report(PoolsReport, await client.read("/v1/pools", query))
        self.show(report, formatting.pools_text(report, with_vms=bool(query)))
        self.warn_without_leader(report.from_leader)

    async def jobs(self, client: OperatorClient) -> None:
        """Show jobs."""
        report = _report(JobsReport, await client.read("/v1/jobs", self.query("job")))
        self.show(report, formatting.jobs_text(report))

    async def questions(self, client: OperatorClient) -> None:
        """Show questions."""
        query = {"all": "true"} if self.options.all else {}
        report = _report(QuestionsReport, await client.read("/v1/questions", query))
        self.show(report, formatting.questions_text(report))

    async def drain(self, client: OperatorClient) -> None:
        """Request maintenance."""
        request_id = self.request_id()
        pool, vm = self.options.pool, self.options.vm
        request = DrainRequest(
            request_id,
            None if pool is None else PoolId(pool),
            None if vm is None else VmId(vm),
        )
        report = _report(DoneReport, await client.change("/v1/drain", request, request_id))
        subject = f"pool {pool}" if vm is None else f"VM {vm}"
        self.show(report, f"requested maintenance of {formatting.printable(subject)}\n")

    async def answer(self, client: OperatorClient) -> None:
        """Answer a question."""
        request_id = self.request_id()
        question, choice = QuestionId(self.options.question), self.options.choice
        request = AnswerRequest(question, choice, request_id)
        report = _report(DoneReport, await client.change("/v1/answer", request, request_id))
        text = f"answered {formatting.printable(question)} with {formatting.printable(choice)}\n"
        self.show(report, text)

    async def timeline(self, client: OperatorClient) -> None:
        """Show the timeline, and keep printing new events with `--follow`."""
        query = self.query("request", "vm", "pool", "job", "revision", "question", "limit")
        positions: dict[str, int] = {}
        while True:
            if positions:
                query["after"] = ",".join(
                    f"{name}/{position}" for name, position in positions.items()
                )
            try:
                timeline = _report(Timeline, await client.read("/v1/timeline", query))
            except UnreachableError as error:
                if not self.options.follow or not positions:
                    raise
                self.show_error(error)
            else:
                positions.update(
                    (process.process, process.position) for process in timeline.processes
                )
                self.show_timeline(timeline)
            if not self.options.follow or not await self.context.pause(FOLLOW_INTERVAL_S):
                return

    def warn_without_leader(self, from_leader: bool) -> None:
        """Warn on the error stream that a report is incomplete; JSON has it as a field."""
        if not from_leader and not self.options.json:
            self.context.error_output.write(formatting.NOT_LEADER)

    def show_timeline_files(self) -> None:
        """Show the timeline read from files."""
        options = self.options
        timeline_filter = TimelineFilter(
            request=None if options.request is None else RequestId(options.request),
            vm=None if options.vm is None else VmId(options.vm),
            pool=None if options.pool is None else PoolId(options.pool),
            job=None if options.job is None else JobId(options.job),
            revision=None if options.revision is None else Revision(options.revision),
            question=None if options.question is None else QuestionId(options.question),
        )
        self.show_timeline(read_timeline_files(options.file, timeline_filter))

    def show_timeline(self, timeline: Timeline) -> None:
        """Print events and gaps, or write them as an image or a page."""
        title = "timeline"
        query = self.query("request", "vm", "pool", "job", "revision", "question")
        if query:
            title += " of " + ", ".join(f"{name} {value}" for name, value in query.items())
        renderings = ((self.options.svg, render_svg), (self.options.html, render_html))
        for file, render in renderings:
            if file is not None:
                _write(file, render(timeline, title))
                self.context.error_output.write(f"wrote {len(timeline.events)} events to {file}\n")
        if self.options.json and self.options.follow:
            # One JSON value per line, so that a reader can process each event as it arrives.
            for event in timeline.events:
                self.context.output.write(json.dumps(to_plain(event)) + "\n")
        elif self.options.json:
            self.show(timeline, "")
        elif not (self.options.svg or self.options.html):
            self.context.output.write("".join(map(formatting.event_text, timeline.events)))
        if not self.options.json:
            gaps = formatting.gaps_text(timeline)
            if gaps != self.reported_gaps:
                self.context.error_output.write(gaps)
            self.reported_gaps = gaps

    def query(self, *names: str) -> dict[str, str]:
        """Return the given options as query parameters."""
        values = {name: getattr(self.options, name) for name in names}
        return {name: str(value) for name, value in values.items() if value is not None}

    def request_id(self) -> RequestId:
        """Return the request id of the options, or a new one."""
        if self.options.request_id is not None:
            return RequestId(self.options.request_id)
        return self.context.new_request_id()


def _report(expected: type[T], value: Any) -> T:
    try:
        return from_plain(expected, value, strict=False)
    except PlainValueError as error:
        report = ErrorReport(
            "PlainValueError", "the response has the format of another version", error.problems
        )
        raise RemoteOperationError(200, report) from error


def _write(file: Path, text: str) -> None:
    try:
        file.write_text(text, encoding="utf-8")
    except OSError as error:
        raise InputFileError(f"{file}: can't be written ({error.strerror})") from error
