"""Trouble that operators are asked about."""

from marigolddoor_core.questions.question_tracker import QuestionDraft, QuestionTracker

__all__ = ["QuestionDraft", "QuestionTracker"]
