"""Trouble that operators are asked about."""

from marigolddoor_core.questions.book import QuestionDraft, QuestionTracker

__all__ = ["QuestionDraft", "QuestionTracker"]
