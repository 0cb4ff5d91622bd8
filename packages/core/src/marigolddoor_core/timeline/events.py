"""Events of the timeline: kind, time, process, subject and cause."""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from marigolddoor_core.ids import (
    JobId,
    PoolId,
    ProcessId,
    QuestionId,
    RequestId,
    Revision,
    ServiceId,
    TaskId,
    VmId,
)
from marigolddoor_core.timeline.clock import HybridTime

__all__ = ["Event", "EventId", "EventKind", "Subject"]

# In the form PROCESS/SEQUENCE.
EventId = NewType("EventId", str)


class EventKind(Enum):
    """The kinds of events. The first word names the subject or the part of the system."""

    REQUEST_RECEIVED = "request received"
    REQUEST_QUEUED = "request queued"
    REQUEST_REFUSED = "request refused"
    REQUEST_SENT = "request sent"
    REQUEST_RETRIED = "request retried"
    REQUEST_FORWARDED = "request forwarded"
    REQUEST_ANSWERED = "request answered"
    REQUEST_FAILED = "request failed"
    REQUEST_UNKNOWN = "request unknown"
    CLAIM_GRANTED = "claim granted"
    CLAIM_REFUSED = "claim refused"

    TARGET_JOINED = "target joined"
    TARGET_LEFT = "target left"
    TARGET_DRAINING = "target draining"
    TARGET_SUSPECTED = "target suspected"
    TARGET_DEAD = "target dead"
    TARGET_EJECTED = "target ejected"
    TARGET_READMITTED = "target readmitted"

    MOVE_BEGUN = "move begun"
    MOVE_FINISHED = "move finished"
    POOL_SHORT = "pool short"
    POOL_LOAN = "pool loan"

    TASK_SUBMITTED = "task submitted"
    TASK_LEASED = "task leased"
    TASK_THROTTLED = "task throttled"
    TASK_CHECKPOINTED = "task checkpointed"
    TASK_FINISHED = "task finished"
    TASK_FAILED = "task failed"
    TASK_CANCELLED = "task cancelled"
    TASK_SET_ASIDE = "task set aside"

    MAINTENANCE_REQUESTED = "maintenance requested"
    MAINTENANCE_STEP = "maintenance step"
    MAINTENANCE_STOPPED = "maintenance stopped"
    MAINTENANCE_RESUMED = "maintenance resumed"

    REVISION_ACCEPTED = "revision accepted"
    REVISION_REFUSED = "revision refused"
    REVISION_IN_FORCE = "revision in force"

    ELECTION_STARTED = "election started"
    ELECTION_WON = "election won"
    ELECTION_LOST = "election lost"
    MEMBER_CHANGED = "member changed"

    QUESTION_OPENED = "question opened"
    QUESTION_ANSWERED = "question answered"
    QUESTION_CLOSED = "question closed"

    PROCESS_STARTED = "process started"
    PROCESS_STOPPING = "process stopping"
    FAILURE_PEER = "failure peer"
    FAILURE_DISK = "failure disk"
    FAILURE_PLATFORM = "failure platform"
    FAILURE_DATA_CENTRE = "failure data centre"


@dataclass(frozen=True, slots=True)
class Subject:
    """The objects that an event concerns. Any number of the fields may be set."""

    request: RequestId | None = None
    service: ServiceId | None = None
    vm: VmId | None = None
    pool: PoolId | None = None
    job: JobId | None = None
    task: TaskId | None = None
    revision: Revision | None = None
    question: QuestionId | None = None


@dataclass(frozen=True, slots=True)
class Event:
    """One event. `sequence` counts the events of `process` from 1.

    `cause` is the event that caused this one, possibly on another process. `text` is a short
    sentence for operators; it contains no body, token or key.
    """

    id: EventId
    process: ProcessId
    sequence: int
    time: HybridTime
    kind: EventKind
    subject: Subject
    text: str = ""
    cause: EventId | None = None
