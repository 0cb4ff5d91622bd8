"""The declaration in force, its revision, and the results of the last requests to change it."""

from collections import OrderedDict
from collections.abc import Iterable, Mapping

from marigolddoor_core.declaration.organisation import (
    Declaration,
    Job,
    Pool,
    Service,
    Team,
)
from marigolddoor_core.declaration.structure import structure_problems
from marigolddoor_core.ids import (
    JobId,
    OperatorId,
    OrganisationId,
    PoolId,
    RequestId,
    Revision,
    ServiceId,
    TeamId,
    VmId,
)
from marigolddoor_core.state.commands import ApplyDeclaration
from marigolddoor_core.state.journal import Journal
from marigolddoor_core.state.objects import ObjectKind, RevisionRecord, VmRecord
from marigolddoor_core.state.results import (
    DeclarationAccepted,
    Refusal,
    Refused,
    Result,
    RevisionConflict,
)
from marigolddoor_core.state.snapshots import RequestResult

__all__ = ["EMPTY_DECLARATION", "Declarations"]

# At 12,000 changes a day this remembers about two hours of requests.
REQUESTS_KEPT = 1_000
# A refusal is stored with its request, so it names only the first problems.
PROBLEMS_NAMED = 5

EMPTY_DECLARATION = Declaration(OrganisationId(""), (), (), ())


class Declarations:
    """Holds the declaration and accepts a change only on top of the current revision."""

    def __init__(self, journal: Journal) -> None:
        self.journal = journal
        self.revision = Revision(0)
        self.author = OperatorId("")
        self.requests: OrderedDict[RequestId, Result] = OrderedDict()
        self._set(EMPTY_DECLARATION)

    def apply(self, command: ApplyDeclaration, vms: Mapping[VmId, VmRecord]) -> Result:
        """Return the result of `command`; that of a resend is the first one, without a change."""
        if not command.request or not command.author:
            return Refused(Refusal.INVALID, "a change needs a request id and an author")
        kept = self.requests.get(command.request)
        if kept is not None:
            return kept
        result = self._change(command, vms)
        self.requests[command.request] = result
        while len(self.requests) > REQUESTS_KEPT:
            self.requests.popitem(last=False)
        return result

    def restore(
        self,
        revision: Revision,
        author: OperatorId,
        declaration: Declaration,
        requests: Iterable[RequestResult],
    ) -> None:
        """Replace everything by the parts of a snapshot."""
        self.revision = revision
        self.author = author
        self.requests = OrderedDict((kept.request, kept.result) for kept in requests)
        self._set(declaration)

    def _change(self, command: ApplyDeclaration, vms: Mapping[VmId, VmRecord]) -> Result:
        if command.base_revision != self.revision:
            return RevisionConflict(command.base_revision, self.revision, self.author)
        problem = self._problem(command.declaration, vms)
        if problem:
            return Refused(Refusal.INVALID, problem)
        before = self.declaration
        self.revision = Revision(self.revision + 1)
        self.author = command.author
        self._set(command.declaration)
        self._record(before, command.declaration)
        return DeclarationAccepted(self.revision)

    def _problem(self, declaration: Declaration, vms: Mapping[VmId, VmRecord]) -> str:
        named = self.declaration.organisation
        if named and declaration.organisation != named:
            return f"the organisation is {named!r} and cannot become {declaration.organisation!r}"
        problems = structure_problems(declaration)
        if problems:
            return "; ".join(str(problem) for problem in problems[:PROBLEMS_NAMED])
        removed = self.pools.keys() - {pool.id for pool in declaration.pools}
        if removed:
            return _occupied_pools(removed, vms)
        return ""

    def _set(self, declaration: Declaration) -> None:
        self.declaration = declaration
        self.services: dict[ServiceId, Service] = {part.id: part for part in declaration.services}
        self.pools: dict[PoolId, Pool] = {part.id: part for part in declaration.pools}
        self.teams: dict[TeamId, Team] = {part.id: part for part in declaration.teams}
        self.jobs: dict[JobId, Job] = {part.id: part for part in declaration.jobs}

    def _record(self, before: Declaration, after: Declaration) -> None:
        self.journal.put(
            ObjectKind.REVISION, "declaration", RevisionRecord(self.revision, self.author)
        )
        for kind, old, new in (
            (ObjectKind.SERVICE, before.services, after.services),
            (ObjectKind.POOL, before.pools, after.pools),
            (ObjectKind.TEAM, before.teams, after.teams),
            (ObjectKind.JOB, before.jobs, after.jobs),
        ):
            self._record_parts(kind, old, new)
        if self.revision == 1 or before.weights != after.weights:
            self.journal.put(ObjectKind.WEIGHTS, "weights", after.weights)

    def _record_parts(
        self,
        kind: ObjectKind,
        before: tuple[Service | Pool | Team | Job, ...],
        after: tuple[Service | Pool | Team | Job, ...],
    ) -> None:
        old = {str(part.id): part for part in before}
        new = {str(part.id): part for part in after}
        for key in old:
            if key not in new:
                self.journal.remove(kind, key)
        for key, part in new.items():
            if old.get(key) != part:
                self.journal.put(kind, key, part)


def _occupied_pools(removed: Iterable[PoolId], vms: Mapping[VmId, VmRecord]) -> str:
    problems: list[str] = []
    for pool in sorted(removed):
        inside = sum(vm.pool == pool for vm in vms.values())
        incoming = sum(vm.next_pool == pool for vm in vms.values())
        if inside or incoming:
            problems.append(
                f"pool {pool!r} cannot be removed: it has {inside} VMs and {incoming} more on their"
                " way; move or retire them first"
            )
    return "; ".join(problems)
