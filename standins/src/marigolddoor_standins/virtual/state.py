"""The state machine behind a virtual fleet, without consensus."""

from collections.abc import Mapping
from dataclasses import replace

from marigolddoor_core.declaration import Declaration
from marigolddoor_core.errors import InvalidInputError
from marigolddoor_core.ids import (
    LogIndex,
    OperatorId,
    QuestionId,
    RequestId,
    Revision,
    TaskId,
    VmId,
)
from marigolddoor_core.state.commands import ApplyDeclaration, Command
from marigolddoor_core.state.machine import StateMachine
from marigolddoor_core.state.objects import QuestionRecord, TaskRecord, VmRecord
from marigolddoor_core.state.results import (
    AlreadyAnswered,
    DeclarationAccepted,
    Refused,
    Result,
    RevisionConflict,
)

__all__ = ["VirtualState"]


class VirtualState:
    """Applies commands at once to a state machine whose first revision is `declaration`."""

    def __init__(self, declaration: Declaration) -> None:
        self.machine = StateMachine()
        author = OperatorId("operator")
        first = ApplyDeclaration(Revision(0), RequestId("first"), author, declaration)
        result = self._commit(first, 0.0)
        if not isinstance(result, DeclarationAccepted):
            raise InvalidInputError(f"the declaration was not accepted: {result}")

    def apply(self, command: Command, now_s: float) -> bool:
        """Apply one command at consensus time `now_s`; return whether it was accepted."""
        result = self._commit(command, now_s)
        return not isinstance(result, Refused | RevisionConflict | AlreadyAnswered)

    def _commit(self, command: Command, now_s: float) -> Result:
        index = LogIndex(self.machine.index + 1)
        return self.machine.apply(index, replace(command, time_s=now_s))

    @property
    def revision(self) -> Revision:
        """The revision of the declaration."""
        return self.machine.revision

    @property
    def declaration(self) -> Declaration:
        """The declaration in force."""
        return self.machine.declaration

    @property
    def vms(self) -> Mapping[VmId, VmRecord]:
        """The VMs."""
        return self.machine.vms

    @property
    def tasks(self) -> Mapping[TaskId, TaskRecord]:
        """The tasks."""
        return self.machine.tasks

    @property
    def questions(self) -> Mapping[QuestionId, QuestionRecord]:
        """The questions."""
        return self.machine.questions
