"""Errors of the command line and its exit codes."""

from enum import IntEnum

from marigolddoor_core.errors import InvalidInputError, MarigolddoorError, UnavailableError
from marigolddoor_core.ids import RequestId
from marigolddoor_core.operations.reports import ErrorReport

__all__ = [
    "ChangeOutcomeUnknownError",
    "ExitCode",
    "InputFileError",
    "OperatorSettingsError",
    "RemoteOperationError",
    "UnreachableError",
    "exit_code",
]


class ExitCode(IntEnum):
    """The exit codes of `marigolddoor`."""

    DONE = 0
    REFUSED = 1
    INVALID = 2
    CONFLICT = 3
    UNREACHABLE = 4
    UNKNOWN = 5


class OperatorSettingsError(InvalidInputError):
    """The settings of the command line are invalid; `problems` lists every fault."""

    def __init__(self, *problems: str) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class InputFileError(InvalidInputError):
    """A file given on the command line can't be read or written."""


class UnreachableError(UnavailableError):
    """No endpoint could be reached, or none of them has a quorum. Nothing was changed."""


class ChangeOutcomeUnknownError(MarigolddoorError):
    """The change was sent and no answer arrived. It may or may not be in force."""

    def __init__(self, request: RequestId, reason: str) -> None:
        super().__init__(
            f"the change was sent but no answer arrived ({reason}); run the same command with "
            f"--request-id {request} to learn the outcome; the change takes effect at most once"
        )
        self.request = request


class RemoteOperationError(MarigolddoorError):
    """The system refused the operation."""

    def __init__(self, status: int, report: ErrorReport) -> None:
        super().__init__(report.message)
        self.status = status
        self.report = report


# Exit codes by HTTP status; any other status gives `REFUSED`.
_CODES = {
    # The operation was done, but the report's format belongs to another version.
    200: ExitCode.UNKNOWN,
    400: ExitCode.INVALID,
    405: ExitCode.INVALID,
    409: ExitCode.CONFLICT,
    413: ExitCode.INVALID,
}


def exit_code(error: MarigolddoorError) -> ExitCode:
    """Return the exit code for `error`."""
    if isinstance(error, RemoteOperationError):
        return _CODES.get(error.status, ExitCode.REFUSED)
    if isinstance(error, ChangeOutcomeUnknownError):
        return ExitCode.UNKNOWN
    if isinstance(error, UnavailableError):
        return ExitCode.UNREACHABLE
    if isinstance(error, InvalidInputError):
        return ExitCode.INVALID
    return ExitCode.REFUSED
