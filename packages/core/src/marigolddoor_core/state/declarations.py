"""The declaration in force and its revision."""

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

__all__ = ["EMPTY_DECLARATION", "Declarations"]

# A refusal is stored with its request, so it lists only the first problems.
PROBLEMS_LISTED = 5
DETAIL_LIMIT = 1_000

EMPTY_DECLARATION = Declaration(OrganisationId(""), (), (), ())


class Declarations:
    """Holds the declaration. A change is accepted only if it is based on the current revision."""

    def __init__(self, journal: Journal) -> None:
        self.journal = journal
        self.revision = Revision(0)
        self.author = OperatorId("")
        self._set_declaration(EMPTY_DECLARATION)

    def apply(self, command: ApplyDeclaration, vms: Mapping[VmId, VmRecord]) -> Result:
        """Make the declaration the next revision, if its base is the current one."""
        if command.base_revision != self.revision:
            return RevisionConflict(command.base_revision, self.revision, self.author)
        problem = self._find_problem(command.declaration, vms)
        if problem:
            return Refused(Refusal.INVALID, problem[:DETAIL_LIMIT])
        before = self.declaration
        self.revision = Revision(self.revision + 1)
        self.author = command.author
        self._set_declaration(command.declaration)
        self._record_changes(before, command.declaration)
        return DeclarationAccepted(self.revision)

    def restore(self, revision: Revision, author: OperatorId, declaration: Declaration) -> None:
        """Replace the declaration with that of a snapshot."""
        self.revision = revision
        self.author = author
        self._set_declaration(declaration)

    def _find_problem(self, declaration: Declaration, vms: Mapping[VmId, VmRecord]) -> str:
        current = self.declaration.organisation
        if current and declaration.organisation != current:
            return f"the organisation is {current!r} and cannot become {declaration.organisation!r}"
        problems = structure_problems(declaration)
        if problems:
            return "; ".join(str(problem) for problem in problems[:PROBLEMS_LISTED])
        removed = self.pools.keys() - {pool.id for pool in declaration.pools}
        if removed:
            return _describe_occupied_pools(removed, vms)
        return ""

    def _set_declaration(self, declaration: Declaration) -> None:
        self.declaration = declaration
        self.services: dict[ServiceId, Service] = {part.id: part for part in declaration.services}
        self.pools: dict[PoolId, Pool] = {part.id: part for part in declaration.pools}
        self.teams: dict[TeamId, Team] = {part.id: part for part in declaration.teams}
        self.jobs: dict[JobId, Job] = {part.id: part for part in declaration.jobs}

    def _record_changes(self, before: Declaration, after: Declaration) -> None:
        self.journal.put(
            ObjectKind.REVISION, "declaration", RevisionRecord(self.revision, self.author)
        )
        for kind, old, new in (
            (ObjectKind.SERVICE, before.services, after.services),
            (ObjectKind.POOL, before.pools, after.pools),
            (ObjectKind.TEAM, before.teams, after.teams),
            (ObjectKind.JOB, before.jobs, after.jobs),
        ):
            self._record_part_changes(kind, old, new)
        if self.revision == 1 or before.weights != after.weights:
            self.journal.put(ObjectKind.WEIGHTS, "weights", after.weights)

    def _record_part_changes(
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


def _describe_occupied_pools(removed: Iterable[PoolId], vms: Mapping[VmId, VmRecord]) -> str:
    problems: list[str] = []
    for pool in sorted(removed):
        assigned = sum(vm.pool == pool for vm in vms.values())
        incoming = sum(vm.next_pool == pool for vm in vms.values())
        if assigned or incoming:
            problems.append(
                f"pool {pool!r} cannot be removed: it has {assigned} VMs and {incoming} more on"
                " their way; move or retire them first"
            )
    return "; ".join(problems)
