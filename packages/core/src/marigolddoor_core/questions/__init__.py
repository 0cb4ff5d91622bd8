"""Trouble that operators are asked about."""

from marigolddoor_core.questions.book import Concern, QuestionBook

__all__ = ["Concern", "QuestionBook"]
