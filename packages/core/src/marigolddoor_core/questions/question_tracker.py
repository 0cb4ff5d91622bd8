"""Opens questions, applies their defaults and closes them; each subject has at most one open."""

from collections.abc import Iterable
from dataclasses import dataclass

from marigolddoor_core.actions import Action, ProposeCommand
from marigolddoor_core.fleet import Fleet
from marigolddoor_core.ids import OperatorId, QuestionId, RequestId
from marigolddoor_core.state.commands import (
    AnswerQuestion,
    Choice,
    CloseQuestion,
    Fact,
    OpenQuestion,
)
from marigolddoor_core.state.objects import QuestionRecord

__all__ = ["DEFAULT_AUTHOR", "PROPOSAL_RETRY_S", "QuestionDraft", "QuestionTracker"]

# The author of the default, which applies if no operator answers in time.
DEFAULT_AUTHOR = OperatorId("default")
# A new leader has no reports at first, and a condition may flap; both take less than this.
CLOSE_AFTER_S = 30.0
# The proposer gives up a proposal after 5 s; one round later it may be repeated.
PROPOSAL_RETRY_S = 6.0


@dataclass(frozen=True, slots=True)
class QuestionDraft:
    """A question to be opened. `subject` identifies it; each subject has at most one open."""

    subject: str
    sentence: str
    facts: tuple[Fact, ...]
    choices: tuple[Choice, ...]
    default: str
    default_after_s: float


class QuestionTracker:
    """Reconciles the open questions of one decision with its current drafts.

    `prefixes` are the subject prefixes that belong to the decision. A question stays open, answered
    or not, as long as its condition holds, so that it is not asked again.
    """

    def __init__(self, prefixes: tuple[str, ...]) -> None:
        self.prefixes = prefixes
        self.open_by_subject: dict[str, QuestionRecord] = {}
        self.resolved_since_s: dict[QuestionId, float] = {}
        self.proposed_s: dict[str, float] = {}

    def read(self, fleet: Fleet) -> None:
        """Load the committed questions; call it before `answer` and `reconcile`."""
        self.open_by_subject = {
            record.subject: record
            for record in fleet.questions.values()
            if not record.closed and record.subject.startswith(self.prefixes)
        }

    def answer(self, subject: str) -> str | None:
        """Return the answer to the open question about `subject`, if there is one."""
        record = self.open_by_subject.get(subject)
        return None if record is None else record.answer

    def reconcile(self, now_s: float, drafts: Iterable[QuestionDraft]) -> list[Action]:
        """Return the proposals that open, answer by default and close questions."""
        actions: list[Action] = []
        desired = {draft.subject: draft for draft in drafts}
        for subject, draft in desired.items():
            if subject not in self.open_by_subject and self._may_propose(f"open:{subject}", now_s):
                actions.append(ProposeCommand(_open_command(draft, now_s)))
        for subject, record in self.open_by_subject.items():
            if subject in desired:
                self.resolved_since_s.pop(record.question, None)
                if record.answer is None and now_s >= record.default_at_s:
                    actions.extend(self._apply_default(record, now_s))
                continue
            since_s = self.resolved_since_s.setdefault(record.question, now_s)
            key = f"close:{record.question}"
            if now_s - since_s >= CLOSE_AFTER_S and self._may_propose(key, now_s):
                close = CloseQuestion(record.question, "the reason is gone", now_s)
                actions.append(ProposeCommand(close))
        self._drop_stale(now_s)
        return actions

    def _apply_default(self, record: QuestionRecord, now_s: float) -> list[Action]:
        key = f"default:{record.question}"
        if not self._may_propose(key, now_s):
            return []
        answer = AnswerQuestion(
            record.question, record.default, DEFAULT_AUTHOR, RequestId(key), now_s
        )
        return [ProposeCommand(answer)]

    def _may_propose(self, key: str, now_s: float) -> bool:
        if now_s - self.proposed_s.get(key, -PROPOSAL_RETRY_S) < PROPOSAL_RETRY_S:
            return False
        self.proposed_s[key] = now_s
        return True

    def _drop_stale(self, now_s: float) -> None:
        open_ids = {record.question for record in self.open_by_subject.values()}
        self.resolved_since_s = {q: s for q, s in self.resolved_since_s.items() if q in open_ids}
        self.proposed_s = {
            key: at for key, at in self.proposed_s.items() if now_s - at < PROPOSAL_RETRY_S
        }


def _open_command(draft: QuestionDraft, now_s: float) -> OpenQuestion:
    return OpenQuestion(
        draft.subject,
        draft.sentence,
        draft.facts,
        draft.choices,
        draft.default,
        draft.default_after_s,
        now_s,
    )
