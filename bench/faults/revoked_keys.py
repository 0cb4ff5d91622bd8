"""Simulates keys that are issued and withdrawn under faults, in virtual time.

`FleetService` and `QueueGateway` are the production code; consensus and network are simulated. A
leader that is cut off stays in contact with some entry processes. A frozen entry process reads the
leader's answer when it resumes, before its timers run.
"""

import random
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

import anyio
from anyio.abc import TaskGroup
from marigolddoor_control.fleet.fleet_leadership import NotRecordedError
from marigolddoor_control.fleet.service import FleetService, NotLeadingError
from marigolddoor_core.ids import QueueName, ServiceId, TeamId
from marigolddoor_core.jobs import (
    FleetConfiguration,
    JobChange,
    JobSpec,
    QueueSettings,
    RecordChanges,
    ServiceSettings,
    StepSpec,
    TaskSize,
    TeamSettings,
    digest_key,
)
from marigolddoor_core.ports import NoQuorumError, ProposalOutcomeUnknownError
from marigolddoor_core.queue_calls import QueueCall, QueueMethod, QueueOutcome
from marigolddoor_entry import queue_gateway
from marigolddoor_entry.queue_gateway import QueueGateway
from marigolddoor_wire.errors import PeerUnreachableError
from marigolddoor_wire.peers import Address
from marigolddoor_wire.queue_messages import AskQueue, NotLeading, QueueAnswer

from bench.faults.fleet_group import VirtualGroup
from bench.faults.virtual_loop import run_in_virtual_time

__all__ = ["KeyGuards", "KeyRun"]

CONTROL = tuple(Address(f"10.0.0.{number}:7060") for number in (1, 2, 3))
HOST, PREFIX = "a.example", "/q/"
# A withdrawn key must not work after this time from the acknowledgement on.
REVOKE_S = 5.0
# The newest keys that are in force.
KEPT_KEYS = 2
# From the loss of the old leader on: its lease ends, and later another one is elected.
LEASE_S = 0.44
ELECTION_S = (0.5, 1.2)
CUT_S = (1.0, 14.0)
FREEZE_S = (0.2, 9.0)
DELAY_S = (0.001, 0.005)
DURATION_S = 60.0
CALLER_TIMEOUT_S = 3.0


@dataclass(frozen=True, slots=True)
class KeyGuards:
    """The guards against withdrawn keys; an unguarded run has one of them off."""

    checks_keys: bool = True
    checks_lease: bool = True
    checks_age: bool = True


class _Documents:
    """Implements `DocumentReader`; a configuration is the text of its version."""

    def __init__(self, guards: KeyGuards) -> None:
        self.guards = guards

    def read_job(self, document: bytes) -> JobSpec:
        """Return a job of one task."""
        return JobSpec("payload", (StepSpec(1, TaskSize(100)),))

    def read_configuration(self, document: bytes) -> FleetConfiguration:
        """Return the configuration with the keys of its version; unguarded, none is withdrawn."""
        version = int(document)
        oldest = version - KEPT_KEYS + 1 if self.guards.checks_keys else 0
        keys = tuple(digest_key(f"k{number}") for number in range(max(0, oldest), version + 1))
        queue = QueueSettings(QueueName("q"), HOST, PREFIX, ServiceId("s"), timeout_s=3.0)
        team = TeamSettings(TeamId("red"), keys)
        return FleetConfiguration(version, (queue,), (ServiceSettings(ServiceId("s")),), (team,))


class _Leader:
    """A leader with its service; `is_cut_off` while it can't commit."""

    def __init__(self, group: VirtualGroup, address: Address) -> None:
        self.address = address
        self.is_cut_off = False
        self.consensus = group.elect()
        self.consensus.settings = SimpleNamespace(address=address)
        service: Any = FleetService(
            self.consensus.table, self.consensus, anyio.current_time  # type: ignore[arg-type]
        )
        service.leadership = SimpleNamespace(
            has_ended=False,
            dispatch=SimpleNamespace(has_begun=lambda job: False),
            record=self.record,
            settle=anyio.lowlevel.checkpoint,
        )
        self.service: FleetService = service

    async def record(self, change: JobChange) -> None:
        """Commit a change.

        Raises:
          NotRecordedError: it is not committed.
          ProposalOutcomeUnknownError: it may be committed.
        """
        if self.is_cut_off:
            raise NotRecordedError("no quorum")
        try:
            await self.consensus.propose_here(RecordChanges((change,)), CALLER_TIMEOUT_S)
        except NoQuorumError as error:
            raise NotRecordedError(str(error)) from error


class _Entry:
    """An entry process and its network. Implements the part of `PeerPool` that a gateway uses."""

    def __init__(self, run: "KeyRun") -> None:
        self.run = run
        self.frozen_until = 0.0
        # The cut-off leader on the side of this process.
        self.cut_off_with: _Leader | None = None
        self.gateway = QueueGateway(
            CONTROL, self, anyio.current_time, anyio.current_time  # type: ignore[arg-type]
        )

    async def call(self, address: Address, message: AskQueue, timeout_s: float) -> Any:
        """Return the answer of a control process.

        Raises:
          PeerUnreachableError: it is on the other side of the cut.
        """
        await anyio.sleep(self.run.rng.uniform(*DELAY_S))
        leader = self.cut_off_with or self.run.leader
        if leader is None or (self.cut_off_with is not None and address != leader.address):
            raise PeerUnreachableError(f"{address} is cut off")
        answer: QueueAnswer | NotLeading = NotLeading(leader.address, CONTROL)
        if address == leader.address:
            try:
                answer = QueueAnswer(await leader.service.call_queue(message.call), CONTROL)
            except NotLeadingError as error:
                answer = NotLeading(error.leader or "", CONTROL)
        await anyio.sleep(max(0.0, self.frozen_until - anyio.current_time()))
        return answer

    async def probe(self) -> None:
        """Search for the leader, as the process does."""
        while True:
            await self.gateway.probe()
            await self.gateway.wait_for_probe()


class KeyRun:
    """One simulation, determined by its seed and guards.

    `revoked_runs` counts answers of success to a key after its bound, `refused` the refusals by
    key, and `answered` the answers of success.
    """

    def __init__(self, seed: int, guards: KeyGuards | None = None) -> None:
        self.rng = random.Random(seed)
        self.guards = guards or KeyGuards()
        self.revoked_runs = 0
        self.answered = 0
        self.refused = 0
        self.version = 0
        self.withdrawn_at: dict[int, float] = {}
        self.leader: _Leader | None = None
        self.job_count = 0

    def run(self) -> None:
        """Run the simulation in virtual time."""
        age_s = queue_gateway.MAX_ANSWER_AGE_S
        if not self.guards.checks_age:
            queue_gateway.MAX_ANSWER_AGE_S = float("inf")
        try:
            run_in_virtual_time(self._run)
        finally:
            queue_gateway.MAX_ANSWER_AGE_S = age_s

    async def _run(self) -> None:
        self.group = VirtualGroup(self.rng, _Documents(self.guards))
        self.leader = _Leader(self.group, CONTROL[0])
        self.entries = [_Entry(self) for _ in range(3)]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._change_keys)
            tasks.start_soon(self._cut_off_leaders, tasks)
            tasks.start_soon(self._freeze_entries)
            for entry in self.entries:
                tasks.start_soon(entry.probe)
                for _ in range(2):
                    tasks.start_soon(self._call, entry)
            await anyio.sleep(DURATION_S)
            tasks.cancel_scope.cancel()

    async def _change_keys(self) -> None:
        """Issue a key and withdraw the oldest one, again and again."""
        while True:
            version = self.version + 1
            try:
                if self.leader is not None:
                    await self.leader.service.replace_configuration(str(version).encode())
                    self.version = version
                    self.withdrawn_at[version - KEPT_KEYS] = anyio.current_time()
            except (NotLeadingError, NoQuorumError, ProposalOutcomeUnknownError):
                pass
            await anyio.sleep(self.rng.uniform(0.2, 1.5))

    async def _cut_off_leaders(self, tasks: TaskGroup) -> None:
        while True:
            await anyio.sleep(self.rng.uniform(1.0, 6.0))
            old, self.leader = self.leader, None
            assert old is not None
            old.is_cut_off = True
            side = self.rng.sample(self.entries, self.rng.randint(0, 2))
            for entry in side:
                entry.cut_off_with = old
            tasks.start_soon(self._end_lease, old)
            elected_s = self.rng.uniform(*ELECTION_S)
            await anyio.sleep(elected_s)
            following = CONTROL[(CONTROL.index(old.address) + 1) % len(CONTROL)]
            self.leader = _Leader(self.group, following)
            await anyio.sleep(self.rng.uniform(*CUT_S))
            for entry in side:
                entry.cut_off_with = None
            old.consensus.depose()

    async def _end_lease(self, leader: _Leader) -> None:
        await anyio.sleep(LEASE_S)
        leader.consensus.has_lease = not self.guards.checks_lease

    async def _freeze_entries(self) -> None:
        while True:
            await anyio.sleep(self.rng.uniform(0.5, 4.0))
            entry = self.rng.choice(self.entries)
            entry.frozen_until = anyio.current_time() + self.rng.uniform(*FREEZE_S)

    async def _call(self, entry: _Entry) -> None:
        """Send calls with keys in force and withdrawn ones."""
        while True:
            await anyio.sleep(self.rng.uniform(0.05, 0.4))
            await anyio.sleep(max(0.0, entry.frozen_until - anyio.current_time()))
            number = max(0, self.version - self.rng.randint(0, 12))
            key = digest_key(f"k{number}")
            call = QueueCall(QueueMethod.READ, HOST, PREFIX, key=key)
            if self.rng.random() < 0.3:
                self.job_count += 1
                call = QueueCall(QueueMethod.SUBMIT, HOST, f"{PREFIX}j{self.job_count}", b"", key)
            reply = await entry.gateway.call(call, CALLER_TIMEOUT_S)
            if reply.outcome is QueueOutcome.ANSWERED:
                self.answered += 1
                now = anyio.current_time()
                self.revoked_runs += now > self.withdrawn_at.get(number, now) + REVOKE_S
            self.refused += reply.outcome is QueueOutcome.UNAUTHORIZED
