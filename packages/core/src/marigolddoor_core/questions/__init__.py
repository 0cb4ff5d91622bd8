"""Problems that operators are asked to decide on."""

from marigolddoor_core.questions.question_tracker import QuestionDraft, QuestionTracker

__all__ = ["QuestionDraft", "QuestionTracker"]
