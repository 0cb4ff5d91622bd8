"""A fake target, a fake consensus group and an entry process for tests over loopback sockets."""

import random
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any

import anyio
import httpx
from anyio.abc import SocketAttribute, SocketStream
from marigolddoor_core.declaration.organisation import Pool, Service, Team
from marigolddoor_core.ids import (
    ClaimId,
    DataCentreId,
    Epoch,
    IdempotencyKey,
    LogIndex,
    PoolId,
    ProcessId,
    RackId,
    Revision,
    ServiceId,
    TeamId,
    VmId,
)
from marigolddoor_core.instants import Instant
from marigolddoor_core.ports import NoQuorumError, ProposalOutcomeUnknownError
from marigolddoor_core.requests.claim_tracker import ClaimKey
from marigolddoor_core.state.commands import Claim, Command, FinishClaim, ReleaseClaim
from marigolddoor_core.state.objects import Change, ObjectKind, RevisionRecord, VmRecord
from marigolddoor_core.state.results import (
    BodyMismatch,
    ClaimFinished,
    ClaimGranted,
    ClaimPending,
    ClaimsFull,
    Done,
    Refusal,
    Refused,
    Result,
)
from marigolddoor_core.targets import Announcement, Resources
from marigolddoor_entry.json_forms import announcement_reply_from_json, to_json
from marigolddoor_entry.local_targets import LocalTargets
from marigolddoor_entry.ports import EntryPorts
from marigolddoor_entry.process import BoundAddresses, EntryProcess
from marigolddoor_entry.settings import EntrySettings
from marigolddoor_wire.peers import Address

RENEWALS = ServiceId("renewals")
INTAKE = ServiceId("intake")
CAPACITY = Resources(16.0, 32_768)
DATA_CENTRE = DataCentreId("dc-a")


class Behaviour(Enum):
    """What a fake target does with a request."""

    ANSWER = "answer"
    SLOW = "slow"
    FAIL = "fail"
    REFUSE = "refuse"
    TRUNCATE = "truncate"
    NO_LENGTH = "no length"
    FOREIGN = "foreign"
    NO_ECHO = "no echo"
    CRASH = "crash"
    REPORT_FAILED = "report failed"
    HUGE = "huge"
    # Waits for the number of milliseconds in the path.
    PATH_MS = "path ms"


@dataclass
class FakeTarget:
    """An executor with its own HTTP/1.1 code, so that it can violate the protocol."""

    vm: VmId
    pool: PoolId
    behaviour: Behaviour = Behaviour.ANSWER
    slots: int = 8
    epoch: int = 1
    delay_s: float = 0.3
    address: str = ""
    runs: int = 0
    bodies: list[bytes] = field(default_factory=list)
    received_headers: list[dict[str, str]] = field(default_factory=list)

    async def serve(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        port = listener.extra(SocketAttribute.local_port)
        self.address = f"127.0.0.1:{port}"
        task_status.started()
        await listener.serve(self._connection)

    async def _connection(self, stream: SocketStream) -> None:
        try:
            async with stream:
                data = b""
                while True:
                    while b"\r\n\r\n" not in data:
                        data += await stream.receive()
                    head, _, data = data.partition(b"\r\n\r\n")
                    lines = head.decode().split("\r\n")
                    headers = dict(line.lower().split(": ", 1) for line in lines[1:])
                    length = int(headers.get("content-length", "0"))
                    while len(data) < length:
                        data += await stream.receive()
                    body, data = data[:length], data[length:]
                    await self._respond(stream, lines[0], headers, body)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return

    async def _respond(
        self, stream: SocketStream, line: str, headers: dict[str, str], body: bytes
    ) -> None:
        echo = headers["marigolddoor-request-id"]
        refuse = self.behaviour is Behaviour.REFUSE
        if refuse or headers["marigolddoor-epoch"] != str(self.epoch):
            await stream.send(_answer(409, echo, b"", "marigolddoor-outcome: not-run\r\n"))
            return
        self.runs += 1
        self.bodies.append(body)
        self.received_headers.append(headers)
        if self.behaviour is Behaviour.SLOW:
            await anyio.sleep(self.delay_s)
        if self.behaviour is Behaviour.PATH_MS:
            await anyio.sleep(int(line.split()[1].strip("/")) / 1000)
        answer_body = f"{line.split()[1]} ran {self.runs} ".encode() + body
        if self.behaviour is Behaviour.CRASH:
            await stream.aclose()
        elif self.behaviour is Behaviour.TRUNCATE:
            await stream.send(_answer(200, echo, answer_body)[:-1])
            await stream.aclose()
        elif self.behaviour is Behaviour.NO_LENGTH:
            head = f"HTTP/1.1 200 OK\r\nmarigolddoor-request-id: {echo}\r\n\r\n".encode()
            await stream.send(head + answer_body)
            await stream.aclose()
        elif self.behaviour is Behaviour.FOREIGN:
            await stream.send(_answer(200, "another-request", answer_body))
        elif self.behaviour is Behaviour.NO_ECHO:
            await stream.send(
                _answer(200, "", answer_body).replace(b"marigolddoor-request-id: \r\n", b"")
            )
        elif self.behaviour is Behaviour.FAIL:
            await stream.send(_answer(500, echo, b"broken"))
        elif self.behaviour is Behaviour.REPORT_FAILED:
            await stream.send(_answer(200, echo, answer_body, "marigolddoor-outcome: failed\r\n"))
        elif self.behaviour is Behaviour.HUGE:
            await stream.send(_answer(200, echo, b"x" * (9 * 1024 * 1024)))
        else:
            await stream.send(_answer(200, echo, answer_body))

    def announcement(self) -> Announcement:
        return Announcement(
            vm=self.vm,
            data_centre=DATA_CENTRE,
            rack=RackId("r1"),
            address=self.address,
            slots=self.slots,
            busy_slots=0,
            capacity=CAPACITY,
            epoch=Epoch(0),
            incarnation="one",
        )


def _answer(status: int, echo: str, body: bytes, extra: str = "") -> bytes:
    head = (
        f"HTTP/1.1 {status} Status\r\ncontent-type: text/plain\r\ncontent-length: {len(body)}\r\n"
        f"marigolddoor-request-id: {echo}\r\n{extra}\r\n"
    )
    return head.encode() + body


class FakeGroup:
    """A consensus group of one replica that only handles claims."""

    def __init__(self) -> None:
        self.claims: dict[ClaimKey, tuple[Claim, ClaimId, FinishClaim | None]] = {}
        self.index = 0
        self.quorum = True
        self.full = False
        self.refuses = False
        # The number of next proposals that are committed but whose results are lost.
        self.lose_results = 0
        self.delay_s = 0.0
        self.commands: Counter[str] = Counter()

    async def propose(self, command: Command, timeout_s: float = 5.0) -> Result:
        await anyio.sleep(self.delay_s)
        if not self.quorum:
            raise NoQuorumError("no leader")
        self.commands[type(command).__name__] += 1
        result = self._apply(command)
        if self.lose_results:
            self.lose_results -= 1
            raise ProposalOutcomeUnknownError("the reply was lost")
        return result

    async def read_claim(
        self, service: ServiceId, key: IdempotencyKey
    ) -> ClaimPending | ClaimFinished | None:
        found = self.claims.get(ClaimKey(service, key))
        if found is None:
            return None
        command, claim, finished = found
        if finished is None:
            return ClaimPending(claim, command.claimant)
        return ClaimFinished(claim, finished.answer)

    def _apply(self, command: Command) -> Result:
        self.index += 1
        if isinstance(command, Claim):
            return Refused(Refusal.UNKNOWN) if self.refuses else self._claim(command)
        for key, (_, claim, _) in list(self.claims.items()):
            if isinstance(command, FinishClaim) and claim == command.claim:
                self.claims[key] = (self.claims[key][0], claim, command)
                return Done()
            if isinstance(command, ReleaseClaim) and claim == command.claim:
                del self.claims[key]
                return Done()
        return Refused(Refusal.UNKNOWN)

    def _claim(self, command: Claim) -> Result:
        key = ClaimKey(command.service, command.key)
        found = self.claims.get(key)
        if found is None:
            if self.full:
                return ClaimsFull()
            self.claims[key] = (command, ClaimId(self.index), None)
            return ClaimGranted(ClaimId(self.index))
        first, claim, finished = found
        if first.body_digest != command.body_digest:
            return BodyMismatch()
        if finished is None:
            return ClaimPending(claim, first.claimant)
        return ClaimFinished(claim, finished.answer)


@dataclass
class Running:
    """A running entry process with a client of its listeners."""

    process: EntryProcess
    bound: BoundAddresses
    group: FakeGroup
    client: httpx.AsyncClient
    scope: anyio.CancelScope

    def crash(self) -> None:
        """Stop the process abruptly."""
        self.scope.cancel()

    async def request(
        self, service: ServiceId = RENEWALS, path: str = "/x", **headers: str
    ) -> httpx.Response:
        """Send a GET request of a caller; `_` in the name of a header stands for `-`."""
        return await self.client.get(path, headers=_caller_headers(service, headers))

    async def post(
        self, body: bytes, service: ServiceId = INTAKE, path: str = "/x", **headers: str
    ) -> httpx.Response:
        """Send a POST request of a caller."""
        sent = _caller_headers(service, headers)
        return await self.client.post(path, content=body, headers=sent)

    async def announce(self, target: FakeTarget) -> None:
        """Announce a target twice, so that it is assigned to its pool."""
        for _ in range(2):
            response = await self.client.post(
                f"http://{self.bound.targets}/marigolddoor/announce",
                content=to_json(target.announcement()),
            )
            announcement_reply_from_json(response.content)


def _caller_headers(service: ServiceId, headers: dict[str, str]) -> dict[str, str]:
    sent = {"marigolddoor-service": service, "marigolddoor-team": "pantry"}
    sent.update({name.replace("_", "-"): value for name, value in headers.items()})
    return {name: value for name, value in sent.items() if value != "LEFT OUT"}


SERVICES = (
    Service(RENEWALS, PoolId("renewals"), idempotent=True, floor_slots=4),
    Service(INTAKE, PoolId("intake"), idempotent=False, floor_slots=4),
)
POOLS = (Pool(PoolId("renewals"), 3, 1, 1), Pool(PoolId("intake"), 3, 1, 1))
TEAMS = (Team(TeamId("pantry"), 64, 100.0),)


def declared(targets: list[FakeTarget], team_slots: int = 64) -> list[Change]:
    """Return the changes that declare the services, the pools, a team and the targets' VMs."""
    index = LogIndex(1)
    changes = [
        Change(ObjectKind.REVISION, "revision", index, RevisionRecord(Revision(1), "tester"))
    ]
    changes += [Change(ObjectKind.SERVICE, each.id, index, each) for each in SERVICES]
    changes += [Change(ObjectKind.POOL, each.id, index, each) for each in POOLS]
    teams = [replace(team, slots=team_slots) for team in TEAMS]
    changes += [Change(ObjectKind.TEAM, team.id, index, team) for team in teams]
    for target in targets:
        record = VmRecord(
            target.vm,
            DATA_CENTRE,
            RackId("r1"),
            target.address,
            CAPACITY,
            target.slots,
            target.pool,
            Epoch(1),
        )
        changes.append(Change(ObjectKind.VM, target.vm, index, record))
    return changes


@asynccontextmanager
async def running_entry(
    targets: list[FakeTarget],
    group: FakeGroup | None = None,
    process: str = "entry-1",
    serve_targets: bool = True,
    team_slots: int = 64,
    **more_ports: Any,
) -> AsyncIterator[Running]:
    """Run an entry process to which all targets are announced."""
    group = group if group is not None else FakeGroup()
    local = LocalTargets()
    ports = EntryPorts(proposer=group, directory=local, holder=local, claims=group, **more_ports)
    settings = EntrySettings(
        ProcessId(process), DATA_CENTRE, Address("127.0.0.1:0"), drain_s=0.05, stop_timeout_s=5.0
    )
    entry = EntryProcess(settings, ports, random.Random(1))
    async with anyio.create_task_group() as servers:
        if serve_targets:
            for target in targets:
                await servers.start(target.serve)
        stopped = anyio.Event()

        scope = anyio.CancelScope()

        async def run(*, task_status: anyio.abc.TaskStatus[BoundAddresses]) -> None:
            with scope:
                await entry.run(task_status=task_status)
            stopped.set()

        bound = await servers.start(run)
        entry.apply_changes(LogIndex(1), declared(targets, team_slots), True)
        base = f"http://{bound.callers}"
        async with httpx.AsyncClient(
            base_url=base, limits=httpx.Limits(max_connections=None), timeout=30.0, trust_env=False
        ) as client:
            running = Running(entry, bound, group, client, scope)
            for target in targets:
                await running.announce(target)
            servers.start_soon(_refresh_announcements, local, targets, entry)
            yield running
        entry.request_stop()
        with anyio.fail_after(10):
            await stopped.wait()
        servers.cancel_scope.cancel()


async def _refresh_announcements(
    local: LocalTargets, targets: list[FakeTarget], entry: EntryProcess
) -> None:
    """Refresh the last contact of the targets directly, without announcements over HTTP."""
    while True:
        await anyio.sleep(1.0)
        for target in targets:
            held = local.held[target.vm]
            held.last_contact = Instant(entry.clock())
