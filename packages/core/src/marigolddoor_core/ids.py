"""Identifiers of the objects that marigolddoor manages."""

from typing import NewType

__all__ = [
    "ClaimId",
    "DataCentreId",
    "Epoch",
    "ExecutorId",
    "ExecutorIncarnation",
    "FencingToken",
    "IdempotencyKey",
    "JobId",
    "LogIndex",
    "MachineId",
    "OperatorId",
    "OrganisationId",
    "PoolId",
    "ProcessId",
    "QuestionId",
    "QueueName",
    "RackId",
    "ReplicaId",
    "RequestId",
    "Revision",
    "RunNumber",
    "ServiceId",
    "TaskId",
    "TaskName",
    "TeamId",
    "Term",
    "VmId",
    "WaveId",
]

OrganisationId = NewType("OrganisationId", str)
DataCentreId = NewType("DataCentreId", str)
RackId = NewType("RackId", str)
VmId = NewType("VmId", str)
PoolId = NewType("PoolId", str)
ServiceId = NewType("ServiceId", str)
TeamId = NewType("TeamId", str)
JobId = NewType("JobId", str)
TaskId = NewType("TaskId", str)
OperatorId = NewType("OperatorId", str)
QuestionId = NewType("QuestionId", str)

# A process of the system. The id is unique for each start: a restarted process has a new one.
ProcessId = NewType("ProcessId", str)
# A replica of the consensus group. The id is kept across restarts with the same data folder.
ReplicaId = NewType("ReplicaId", str)

RequestId = NewType("RequestId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
# The log index at which the claim was committed.
ClaimId = NewType("ClaimId", int)

Revision = NewType("Revision", int)
Epoch = NewType("Epoch", int)
FencingToken = NewType("FencingToken", int)
Term = NewType("Term", int)
LogIndex = NewType("LogIndex", int)

# The host and path under which callers submit jobs.
QueueName = NewType("QueueName", str)
# A task of a submitted job: JOB.OCCURRENCE.STEP.INDEX.
TaskName = NewType("TaskName", str)
# Counts the starts of a task.
RunNumber = NewType("RunNumber", int)
ExecutorId = NewType("ExecutorId", str)
# One incarnation of an executor, from a start to the next one: ID/START.
ExecutorIncarnation = NewType("ExecutorIncarnation", str)
MachineId = NewType("MachineId", str)
WaveId = NewType("WaveId", int)
