"""A table of jobs with a reader of small JSON documents."""

import json
from typing import Any

from marigolddoor_core.ids import (
    ExecutorIncarnation,
    JobId,
    LogIndex,
    QueueName,
    RunNumber,
    ServiceId,
    TaskName,
    TeamId,
)
from marigolddoor_core.jobs import (
    AcceptJob,
    EndRun,
    FleetConfiguration,
    InvalidJobError,
    JobChange,
    JobSpec,
    JobTable,
    PlaceRun,
    QueueSettings,
    RecordChanges,
    RunEnd,
    ServiceSettings,
    StepSpec,
    TaskSize,
    TeamSettings,
    digest_key,
)

SERVICE = ServiceId("desk")
QUEUE = QueueName("views")
INCARNATION = ExecutorIncarnation("i-1/100")


class TestDocuments:
    """Reads the documents written by `document` and `configuration`."""

    def read_job(self, document: bytes) -> JobSpec:
        fields = json.loads(document)
        if "steps" not in fields:
            raise InvalidJobError("no steps")
        steps = []
        for step in fields["steps"]:
            cpu = step.pop("cpu", 1000)
            memory = step.pop("memory", 100)
            accelerators = step.pop("accelerators", 0)
            step["depends_on"] = tuple(step.get("depends_on", ()))
            steps.append(StepSpec(size=TaskSize(cpu, memory, accelerators), **step))
        return JobSpec(
            fields.get("payload", "p"),
            tuple(steps),
            fields.get("occurrences", 1),
            "first_due_s" in fields,
            fields.get("first_due_s", 0.0),
            fields.get("interval_s", 0.0),
        )

    def read_configuration(self, document: bytes) -> FleetConfiguration:
        fields = json.loads(document)
        return FleetConfiguration(
            fields["version"],
            tuple(
                QueueSettings(
                    QueueName(name),
                    "a.example",
                    f"/{name}/",
                    ServiceId(service),
                    timeout_s=3.0,
                    max_attempts=3,
                    slack_factor=1.6,
                    latency_target_s=0.6,
                    needs_advice=name in fields.get("advised", ()),
                    is_public=name in fields.get("public", ()),
                )
                for name, service in fields["queues"].items()
            ),
            tuple(
                ServiceSettings(
                    ServiceId(name),
                    name not in fields.get("unenforced", ()),
                    name in fields.get("standby", ()),
                )
                for name in fields["services"]
            ),
            _teams(fields),
        )


def _teams(fields: dict[str, Any]) -> tuple[TeamSettings, ...] | None:
    if "teams" not in fields:
        return None
    return tuple(
        TeamSettings(
            TeamId(name),
            tuple(digest_key(key) for key in team.get("keys", ())),
            team.get("weight", 1.0),
            TaskSize(team.get("cpu", 0), team.get("memory", 0)),
        )
        for name, team in fields["teams"].items()
    )


def document(*steps: dict[str, object], **fields: object) -> bytes:
    return json.dumps({"steps": list(steps), **fields}).encode()


def configuration(
    version: int,
    unenforced: tuple[str, ...] = (),
    advised: tuple[str, ...] = (),
    **queues: str,
) -> bytes:
    services = sorted(set(queues.values()))
    fields = {
        "version": version,
        "queues": queues,
        "services": services,
        "unenforced": list(unenforced),
        "advised": list(advised),
    }
    return json.dumps(fields).encode()


def with_teams(
    document: bytes, teams: dict[str, dict[str, Any]], public: tuple[str, ...] = ()
) -> bytes:
    """Return a configuration with teams: `keys`, `weight` and a quota of `cpu` and `memory`."""
    return json.dumps({**json.loads(document), "teams": teams, "public": list(public)}).encode()


def accept(
    job: str, *steps: dict[str, object], attempts: int = 3, team: str = "", **fields: object
) -> AcceptJob:
    described = document(*steps, **fields)
    return AcceptJob(JobId(job), QUEUE, SERVICE, attempts, described, TeamId(team))


def place(task: str, run: int = 1, incarnation: str = INCARNATION) -> PlaceRun:
    return PlaceRun(TaskName(task), RunNumber(run), ExecutorIncarnation(incarnation))


def end(task: str, outcome: RunEnd = RunEnd.DONE, run: int = 1, checkpoint: str = "") -> EndRun:
    return EndRun(TaskName(task), RunNumber(run), outcome, checkpoint)


class Log:
    """Applies changes to a table in log order."""

    def __init__(self) -> None:
        self.table = JobTable(TestDocuments())
        self.index = 0

    def apply(self, *changes: JobChange, time_s: float = 0.0) -> None:
        self.index += 1
        self.table.apply(LogIndex(self.index), RecordChanges(changes, time_s))
