"""The requests of operators."""

from collections.abc import Mapping
from dataclasses import dataclass

from marigolddoor_core.ids import PoolId, QuestionId, RequestId, Revision, VmId

__all__ = ["AnswerRequest", "ApplyRequest", "DeclarationSource", "DrainRequest", "PlanRequest"]


@dataclass(frozen=True, slots=True)
class DeclarationSource:
    """The parsed files of a declaration. The file names are used in error messages only."""

    organisation: Mapping[str, object]
    template: Mapping[str, object]
    organisation_file: str = "organisation"
    template_file: str = "template"


@dataclass(frozen=True, slots=True)
class PlanRequest:
    """Show what a declaration would change."""

    declaration: DeclarationSource


@dataclass(frozen=True, slots=True)
class ApplyRequest:
    """Apply a declaration as the next revision after `base_revision`."""

    declaration: DeclarationSource
    base_revision: Revision
    request: RequestId


@dataclass(frozen=True, slots=True)
class DrainRequest:
    """Request maintenance of one VM or a whole pool now. Exactly one of the two is set."""

    request: RequestId
    pool: PoolId | None = None
    vm: VmId | None = None


@dataclass(frozen=True, slots=True)
class AnswerRequest:
    """Answer a question with one of its choices."""

    question: QuestionId
    choice: str
    request: RequestId
