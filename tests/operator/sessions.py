"""Whole sessions of the command line against the real operators' HTTP on loopback.

Inputs are deterministic: the system is a fake, request ids are counted, and the addresses and the
folder are replaced by names in the transcript.
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
from marigolddoor_operator.commands import Surroundings, run_command
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

__all__ = ["GOLDEN", "SESSIONS", "Session", "play"]

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


class Stage:
    """What the steps of a session change: the system, its timeline and the folder."""

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
        """Go on at once; following ends after the second round, which has a new event."""
        self.rounds += 1
        if self.rounds == 1:
            self.timeline.recorders[0].record(
                EventKind.TARGET_JOINED, START_MS + 5_000, Subject(vm=VmId("vm-6")), "vm-6 is ready"
            )
        return self.rounds < 2

    def write_timeline_files(self) -> None:
        """Write a timeline file for each process, the second one with a cut last line."""
        for recorder in self.timeline.recorders:
            lines = [json_line(to_plain(event)) for event in recorder.events]
            path = self.folder / f"{recorder.process}.jsonl"
            path.write_text("".join(lines) + '{"id": "cu')


def json_line(value: object) -> str:
    """Return `value` as a line of JSON."""
    return json.dumps(value) + "\n"


def lose_quorum(stage: Stage) -> None:
    """Let proposals be refused."""
    stage.system.no_quorum = True


def lose_one_result(stage: Stage) -> None:
    """Let one change be committed without its result."""
    stage.system.lose_results = 1


def lose_results(stage: Stage) -> None:
    """Let every result of a change be lost."""
    stage.system.lose_results = 99


def find_results(stage: Stage) -> None:
    """Let results come again."""
    stage.system.lose_results = 0


def lose_leader(stage: Stage) -> None:
    """Let the replica follow nobody."""
    stage.system.leader = None


def change_elsewhere(stage: Stage) -> None:
    """Let another operator change the declaration."""
    state = stage.system.state
    change = ApplyDeclaration(
        state.revision, RequestId("elsewhere"), OperatorId("ben"), state.declaration
    )
    stage.system.commit(change)


def write_files(stage: Stage) -> None:
    """Write the timeline files."""
    stage.write_timeline_files()


@dataclass(frozen=True)
class Step:
    """A command line, and what happens before it."""

    command: str
    before: Callable[[Stage], None] | None = None


@dataclass(frozen=True)
class Session:
    """Commands in their order. `HERE`, `DEAD` and `FOLDER` are replaced in their arguments."""

    name: str
    steps: tuple[Step, ...]


REMOTE = "--endpoint HERE --token-file FOLDER/token"
FILE = "FOLDER/organisation.toml"


def steps(*commands: str) -> tuple[Step, ...]:
    """Return steps that only run commands."""
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
            Step(f"apply {FILE} --base 2 {REMOTE}", change_elsewhere),
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
            Step(f"apply {FILE} --base 2 --request-id request-3 {REMOTE}", find_results),
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


def play(session: Session) -> str:
    """Run a session and return its transcript."""
    return anyio.run(_play, session)


async def _play(session: Session) -> str:
    with tempfile.TemporaryDirectory() as name, socket.socket() as dead:
        # A bound socket that doesn't listen refuses connections, and nobody else gets its port.
        dead.bind(("127.0.0.1", 0))
        stage = Stage(Path(name))
        for file, text in FILES.items():
            (stage.folder / file).write_text(text)
            os.chmod(stage.folder / file, 0o644 if file == "open-token" else 0o600)
        application = fake_application(stage.system, stage.timeline)
        stopping = anyio.Event()
        async with anyio.create_task_group() as group:
            address = await group.start(
                serve_operators, application, Address("127.0.0.1:0"), stopping.wait
            )
            names = {
                "HERE": f"http://{address}",
                "DEAD": f"http://127.0.0.1:{dead.getsockname()[1]}",
                "FOLDER": name,
            }
            parts = [await _run_step(step, stage, names) for step in session.steps]
            stopping.set()
    return "\n".join(parts)


async def _run_step(step: Step, stage: Stage, names: dict[str, str]) -> str:
    if step.before is not None:
        step.before(stage)
    command = step.command
    for word, value in names.items():
        command = command.replace(word, value)
    out, problems = io.StringIO(), io.StringIO()
    around = Surroundings(
        declaration, {"HOME": names["FOLDER"]}, out, problems, stage.new_request_id, stage.pause
    )
    os.environ["COLUMNS"] = COLUMNS
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(problems):
        try:
            code = int(await run_command(build_parser().parse_args(shlex.split(command)), around))
        except SystemExit as stop:
            code = int(stop.code or 0)
    text = f"$ marigolddoor {step.command}\n{out.getvalue()}"
    text += "".join(f"! {line}\n" for line in problems.getvalue().splitlines())
    for word, value in names.items():
        text = text.replace(value, word)
    return f"{text}[exit {code}]\n"
