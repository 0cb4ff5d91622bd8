"""Questions to the operators: one for each subject until it is closed; the first answer counts.

An answered question keeps its subject until it is closed, so that a late command to open it does
not ask the same again while the answer is being carried out.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import replace

from marigolddoor_core.ids import LogIndex, QuestionId
from marigolddoor_core.state.commands import AnswerQuestion, CloseQuestion, OpenQuestion
from marigolddoor_core.state.journal import Journal
from marigolddoor_core.state.objects import ObjectKind, QuestionRecord
from marigolddoor_core.state.results import (
    AlreadyAnswered,
    Done,
    QuestionOpened,
    Refusal,
    Refused,
    Result,
)

__all__ = ["QuestionTable"]

# Closed questions are kept for the operators' view; the oldest are dropped first.
CLOSED_QUESTIONS_KEPT = 1_000


class QuestionTable:
    """Holds the questions that are not closed, and those closed most recently."""

    def __init__(self, journal: Journal) -> None:
        self.journal = journal
        self.questions: dict[QuestionId, QuestionRecord] = {}
        self._unclosed_by_subject: dict[str, QuestionId] = {}
        # In the order in which they were closed.
        self._closed: OrderedDict[QuestionId, None] = OrderedDict()

    def open(self, command: OpenQuestion, now_s: float, index: LogIndex) -> Result:
        """Open a question, or return the one not yet closed on the same subject."""
        existing = self._unclosed_by_subject.get(command.subject)
        if existing is not None:
            return QuestionOpened(existing)
        names = [choice.name for choice in command.choices]
        if not command.subject or not command.sentence:
            return Refused(Refusal.INVALID, "a question needs a subject and a sentence")
        if command.default not in names or len(set(names)) < len(names):
            return Refused(
                Refusal.INVALID, "the names of choices must be distinct and include the default"
            )
        if command.default_after_s < 0.0:
            return Refused(Refusal.INVALID, "the time until the default must not be negative")
        question = QuestionId(f"q{index}")
        self._put(
            QuestionRecord(
                question,
                command.subject,
                command.sentence,
                command.facts,
                command.choices,
                command.default,
                now_s + command.default_after_s,
                now_s,
            )
        )
        return QuestionOpened(question)

    def answer(self, command: AnswerQuestion, now_s: float) -> Result:
        """Store the first answer. A resend of it succeeds; another choice is refused."""
        question = self.questions.get(command.question)
        if question is None:
            return Refused(Refusal.UNKNOWN, f"no question {command.question!r}")
        if question.answer is not None and question.author is not None:
            if question.answer == command.choice:
                return Done()
            return AlreadyAnswered(question.answer, question.author)
        if question.closed:
            return Refused(Refusal.FINISHED, f"{question.question} is closed")
        if command.choice not in [choice.name for choice in question.choices]:
            return Refused(Refusal.INVALID, f"{command.choice!r} is not a choice")
        self._put(replace(question, answer=command.choice, author=command.author))
        return Done()

    def close(self, command: CloseQuestion, now_s: float) -> Result:
        """Close a question."""
        question = self.questions.get(command.question)
        if question is None:
            return Refused(Refusal.UNKNOWN, f"no question {command.question!r}")
        if not question.closed:
            self._put(replace(question, closed=True))
        return Done()

    def restore(self, questions: Iterable[QuestionRecord]) -> None:
        """Replace all questions with `questions`, which are in the order of their last change."""
        self.questions = {}
        self._unclosed_by_subject = {}
        self._closed.clear()
        for question in questions:
            self._index(question)

    def _put(self, question: QuestionRecord) -> None:
        self._index(question)
        self.journal.put(ObjectKind.QUESTION, question.question, question)
        while len(self._closed) > CLOSED_QUESTIONS_KEPT:
            oldest = next(iter(self._closed))
            del self._closed[oldest]
            del self.questions[oldest]
            self.journal.remove(ObjectKind.QUESTION, oldest)

    def _index(self, question: QuestionRecord) -> None:
        self.questions[question.question] = question
        if not question.closed:
            self._unclosed_by_subject[question.subject] = question.question
            return
        if self._unclosed_by_subject.get(question.subject) == question.question:
            del self._unclosed_by_subject[question.subject]
        self._closed.pop(question.question, None)
        self._closed[question.question] = None
