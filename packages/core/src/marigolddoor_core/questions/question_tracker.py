"""Opens, answers by default and closes questions so that each stands once for its subject."""

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

# The author of an answer that nobody gave in time.
DEFAULT_AUTHOR = OperatorId("default")
# A new leader has no reports yet, and a reason may come and go; both take less than this.
CLOSE_AFTER_S = 30.0
# A proposal is given up after 5 s by its proposer; one round later it may be repeated.
PROPOSAL_RETRY_S = 6.0


@dataclass(frozen=True, slots=True)
class QuestionDraft:
    """A reason to ask the operators. `subject` identifies it; one question stands for each."""

    subject: str
    sentence: str
    facts: tuple[Fact, ...]
    choices: tuple[Choice, ...]
    default: str
    default_after_s: float


class QuestionTracker:
    """Keeps the questions of one decision in line with its concerns.

    `prefixes` are the beginnings of the subjects that belong to the decision. A question stays
    open as long as its reason does, answered or not, so the same thing is not asked again.
    """

    def __init__(self, prefixes: tuple[str, ...]) -> None:
        self.prefixes = prefixes
        self.open_by_subject: dict[str, QuestionRecord] = {}
        self.gone_since_s: dict[QuestionId, float] = {}
        self.proposed_s: dict[str, float] = {}

    def read(self, fleet: Fleet) -> None:
        """Take in the committed questions; call it before `answer` and `reconcile`."""
        self.open_by_subject = {
            record.subject: record
            for record in fleet.questions.values()
            if not record.closed and record.subject.startswith(self.prefixes)
        }

    def answer(self, subject: str) -> str | None:
        """Return the answer to the standing question about `subject`, if there is one."""
        record = self.open_by_subject.get(subject)
        return None if record is None else record.answer

    def reconcile(self, now_s: float, drafts: Iterable[QuestionDraft]) -> list[Action]:
        """Return what opens new questions, applies due defaults and closes those without reason."""
        actions: list[Action] = []
        wanted = {draft.subject: draft for draft in drafts}
        for subject, draft in wanted.items():
            if subject not in self.open_by_subject and self._may_propose(f"open:{subject}", now_s):
                actions.append(ProposeCommand(_opening(draft, now_s)))
        for subject, record in self.open_by_subject.items():
            if subject in wanted:
                self.gone_since_s.pop(record.question, None)
                if record.answer is None and now_s >= record.default_at_s:
                    actions.extend(self._apply_default(record, now_s))
                continue
            since_s = self.gone_since_s.setdefault(record.question, now_s)
            key = f"close:{record.question}"
            if now_s - since_s >= CLOSE_AFTER_S and self._may_propose(key, now_s):
                close = CloseQuestion(record.question, "the reason is gone", now_s)
                actions.append(ProposeCommand(close))
        self._forget(now_s)
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

    def _forget(self, now_s: float) -> None:
        open_ids = {record.question for record in self.open_by_subject.values()}
        self.gone_since_s = {q: s for q, s in self.gone_since_s.items() if q in open_ids}
        self.proposed_s = {
            key: at for key, at in self.proposed_s.items() if now_s - at < PROPOSAL_RETRY_S
        }


def _opening(draft: QuestionDraft, now_s: float) -> OpenQuestion:
    return OpenQuestion(
        draft.subject,
        draft.sentence,
        draft.facts,
        draft.choices,
        draft.default,
        draft.default_after_s,
        now_s,
    )
