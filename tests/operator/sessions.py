"""Sessions of the command line against the real operators' HTTP server on loopback.

Transcripts are deterministic: the system is a fake, request ids come from a counter, and addresses
and the folder are replaced by placeholders.
"""

import contextlib
import io
import json
import os
import shlex
import socket
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import anyio
from marigolddoor_control.operators import serve_operators
from marigolddoor_core import declaration
from marigolddoor_core.ids import OperatorId, RequestId, VmId
from marigolddoor_core.plain_values import to_plain
from marigolddoor_core.state.commands import ApplyDeclaration
from marigolddoor_core.timeline import EventKind, Subject
from marigolddoor_operator.arguments import build_parser
from marigolddoor_operator.commands import CommandContext, run_command
from marigolddoor_wire.peers import Address

from tests.operator_fakes import (
    ANN_TOKEN,
    ORGANISATION,
    START_MS,
    TEMPLATE,
    FakeSystem,
    FakeTimeline,
    fake_application,
)

__all__ = ["GOLDEN", "SESSIONS", "Session", "run_session"]

GOLDEN = Path(__file__).parent / "golden"
COLUMNS = "100"

# Pool support has VMs, so it can't be removed.
WITHOUT_SUPPORT = (
    TEMPLATE.replace("[pools.support]", "[pools.reserve]")
    .replace('"support"', '"orders"')
    .replace("floor = 1", "floor = 2", 1)
)
FILES = {
    "organisation.toml": ORGANISATION + "[parameters]\norder_workers = 4\n",
    "template.toml": TEMPLATE,
    "wrong.toml": ORGANISATION + "colour = 1\n[parameters]\norder_workers = 0\n",
    "broken.toml": "organisation = \n",
    "date.toml": ORGANISATION + "[parameters]\norder_workers = 2026-12-04\n",
    "infinite.toml": ORGANISATION + "[parameters]\norder_workers = inf\n",
    "without-support.toml": WITHOUT_SUPPORT,
    "token": ANN_TOKEN,
    "wrong-token": "guess",
    "open-token": ANN_TOKEN,
}


class SessionState:
    """State shared by the steps of a session: the system, its timeline and the folder."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.system = FakeSystem()
        self.timeline = FakeTimeline()
        self.requests = 0
        self.rounds = 0

    def new_request_id(self) -> RequestId:
        """Return the next request id."""
        self.requests += 1
        return RequestId(f"request-{self.requests}")

    async def pause(self, seconds: float) -> bool:
        """Record a new event and return at once; the second call ends `--follow`."""
        self.rounds += 1
        if self.rounds == 1:
            self.timeline.recorders[0].record(
                EventKind.TARGET_JOINED, START_MS + 5_000, Subject(vm=VmId("vm-6")), "vm-6 is ready"
            )
        return self.rounds < 2

    def write_timeline_files(self) -> None:
        """Write a timeline file for each process, each with a truncated last line."""
        for recorder in self.timeline.recorders:
            lines = [json_line(to_plain(event)) for event in recorder.events]
            path = self.folder / f"{recorder.process}.jsonl"
            path.write_text("".join(lines) + '{"id": "cu')


def json_line(value: object) -> str:
    """Return `value` as a line of JSON."""
    return json.dumps(value) + "\n"


def lose_quorum(session_state: SessionState) -> None:
    """Make the system refuse proposals for want of a quorum."""
    session_state.system.no_quorum = True


def lose_one_result(session_state: SessionState) -> None:
    """Commit the next change, but lose its result."""
    session_state.system.lose_results = 1


def lose_results(session_state: SessionState) -> None:
    """Lose the result of every change from now on."""
    session_state.system.lose_results = 99


def restore_results(session_state: SessionState) -> None:
    """Return the results of changes again."""
    session_state.system.lose_results = 0


def lose_leader(session_state: SessionState) -> None:
    """Leave the replica without a leader."""
    session_state.system.leader = None


def commit_concurrent_change(session_state: SessionState) -> None:
    """Commit a change of the declaration by another operator."""
    state = session_state.system.state
    change = ApplyDeclaration(
        state.revision, RequestId("elsewhere"), OperatorId("ben"), state.declaration
    )
    session_state.system.commit(change)


def write_files(session_state: SessionState) -> None:
    """Write the timeline files."""
    session_state.write_timeline_files()


@dataclass(frozen=True)
class Step:
    """A command line, and a function called before it."""

    command: str
    before: Callable[[SessionState], None] | None = None


@dataclass(frozen=True)
class Session:
    """Commands in order. Values replace the placeholders `HERE`, `DEAD` and `FOLDER` in them."""

    name: str
    steps: tuple[Step, ...]


REMOTE = "--endpoint HERE --token-file FOLDER/token"
FILE = "FOLDER/organisation.toml"


def steps(*commands: str) -> tuple[Step, ...]:
    """Return steps without a function before them."""
    return tuple(Step(command) for command in commands)


SESSIONS = (
    Session(
        "help",
        steps("--help", "apply --help", "timeline --help", "", "fly", "apply --base x y"),
    ),
    Session(
        "reports",
        steps(
            f"status {REMOTE}",
            f"pools {REMOTE}",
            f"pools --pool orders {REMOTE}",
            f"pools --pool nothing {REMOTE}",
            f"jobs {REMOTE}",
            f"status --json {REMOTE}",
            f"jobs --job settle --json {REMOTE}",
        ),
    ),
    Session(
        "apply",
        (
            Step(f"validate {FILE}"),
            Step("validate FOLDER/wrong.toml"),
            Step("validate FOLDER/broken.toml"),
            Step(f"plan FOLDER/date.toml {REMOTE}"),
            Step(f"plan FOLDER/infinite.toml {REMOTE}"),
            Step("validate FOLDER/absent.toml"),
            Step("validate FOLDER/template.toml"),
            Step("validate FOLDER/template.toml --template FOLDER/absent.toml"),
            Step(f"plan {FILE} {REMOTE}"),
            Step(f"plan --json {FILE} {REMOTE}"),
            Step(f"plan {FILE} --template FOLDER/without-support.toml {REMOTE}"),
            Step(f"apply {FILE} --template FOLDER/without-support.toml {REMOTE}"),
            Step(f"apply {FILE} {REMOTE}"),
            Step(f"apply {FILE} --base 1 --request-id request-2 {REMOTE}"),
            Step(f"plan {FILE} {REMOTE}"),
            Step(f"apply {FILE} --base 2 {REMOTE}", commit_concurrent_change),
            Step(f"apply {FILE} --base 2 --json {REMOTE}"),
            Step(f"apply FOLDER/wrong.toml {REMOTE}"),
        ),
    ),
    Session(
        "questions",
        steps(
            f"questions {REMOTE}",
            f"answer q22 repair {REMOTE}",
            f"answer q22 wait {REMOTE}",
            f"answer q22 wait --request-id request-2 {REMOTE}",
            f"answer q22 replace {REMOTE}",
            f"answer q23 wait {REMOTE}",
            f"questions {REMOTE}",
            f"questions --all {REMOTE}",
            f"drain --vm vm-1 {REMOTE}",
            f"drain --pool orders --json {REMOTE}",
            f"drain --vm vm-9 {REMOTE}",
            f"drain {REMOTE}",
        ),
    ),
    Session(
        "failures",
        (
            Step("status --endpoint DEAD --endpoint HERE --token-file FOLDER/token"),
            Step("status --endpoint DEAD --token-file FOLDER/token"),
            Step("apply --base 1 --endpoint DEAD --token-file FOLDER/token " + FILE),
            Step("status --endpoint HERE --token-file FOLDER/wrong-token"),
            Step("status --endpoint HERE --token-file FOLDER/open-token"),
            Step("status --endpoint host:1"),
            Step(f"apply {FILE} --base 1 {REMOTE}", lose_one_result),
            Step(f"apply {FILE} --base 2 {REMOTE}", lose_results),
            Step(f"apply {FILE} --base 2 --request-id request-3 {REMOTE}", restore_results),
            Step(f"drain --vm vm-1 {REMOTE}", lose_quorum),
            Step(f"answer q22 wait --json {REMOTE}"),
            Step(f"pools {REMOTE}", lose_leader),
        ),
    ),
    Session(
        "timeline",
        (
            Step(f"timeline {REMOTE}"),
            Step(f"timeline --request req-7 {REMOTE}"),
            Step(f"timeline --revision 1 --json {REMOTE}"),
            Step(f"timeline --question q22 {REMOTE}"),
            Step(f"timeline --limit 0 {REMOTE}"),
            Step(f"timeline --vm vm-2 --svg FOLDER/vm-2.svg --html FOLDER/vm-2.html {REMOTE}"),
            Step("timeline --file FOLDER/control-1.jsonl --file FOLDER/entry-1.jsonl", write_files),
            Step("timeline --vm vm-2 --file FOLDER/entry-1.jsonl"),
            Step("timeline --file FOLDER/token --file FOLDER/broken.toml"),
            Step(f"timeline --follow {REMOTE}"),
        ),
    ),
)


def run_session(session: Session) -> str:
    """Run a session and return its transcript."""
    return anyio.run(_run_session, session)


async def _run_session(session: Session) -> str:
    with tempfile.TemporaryDirectory() as name, socket.socket() as refusing_socket:
        # A bound socket that doesn't listen refuses connections and keeps its port reserved.
        refusing_socket.bind(("127.0.0.1", 0))
        session_state = SessionState(Path(name))
        for file, text in FILES.items():
            (session_state.folder / file).write_text(text)
            os.chmod(session_state.folder / file, 0o644 if file == "open-token" else 0o600)
        application = fake_application(session_state.system, session_state.timeline)
        stopping = anyio.Event()
        async with anyio.create_task_group() as group:
            address = await group.start(
                serve_operators, application, Address("127.0.0.1:0"), stopping.wait
            )
            placeholders = {
                "HERE": f"http://{address}",
                "DEAD": f"http://127.0.0.1:{refusing_socket.getsockname()[1]}",
                "FOLDER": name,
            }
            transcripts = [
                await _run_step(step, session_state, placeholders) for step in session.steps
            ]
            stopping.set()
    return "\n".join(transcripts)


async def _run_step(step: Step, session_state: SessionState, placeholders: dict[str, str]) -> str:
    if step.before is not None:
        step.before(session_state)
    command = step.command
    for placeholder, value in placeholders.items():
        command = command.replace(placeholder, value)
    output, error_output = io.StringIO(), io.StringIO()
    context = CommandContext(
        declaration,
        {"HOME": placeholders["FOLDER"]},
        output,
        error_output,
        session_state.new_request_id,
        session_state.pause,
    )
    os.environ["COLUMNS"] = COLUMNS
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(error_output):
        try:
            code = int(await run_command(build_parser().parse_args(shlex.split(command)), context))
        except SystemExit as stop:
            code = int(stop.code or 0)
    text = f"$ marigolddoor {step.command}\n{output.getvalue()}"
    text += "".join(f"! {line}\n" for line in error_output.getvalue().splitlines())
    for placeholder, value in placeholders.items():
        text = text.replace(value, placeholder)
    return f"{text}[exit {code}]\n"
