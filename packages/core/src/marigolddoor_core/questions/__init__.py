"""Trouble that operators are asked about."""

from marigolddoor_core.questions.book import QuestionBook, QuestionDraft

__all__ = ["QuestionBook", "QuestionDraft"]
