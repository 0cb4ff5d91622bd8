"""The HTTP interface for operators."""

from marigolddoor_control.operators.application import OperatorsApplication
from marigolddoor_control.operators.listener import ListenerTls, serve_operators
from marigolddoor_control.operators.peer_timelines import PeerTimelines
from marigolddoor_control.operators.service import OperatorService
from marigolddoor_control.operators.tokens import TokenFileError, Tokens, parse_tokens

__all__ = [
    "ListenerTls",
    "OperatorService",
    "OperatorsApplication",
    "PeerTimelines",
    "TokenFileError",
    "Tokens",
    "parse_tokens",
    "serve_operators",
]
