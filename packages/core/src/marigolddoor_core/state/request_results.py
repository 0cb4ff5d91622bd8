"""The results of the latest requests of operators, stored for their resends."""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator

from marigolddoor_core.ids import OperatorId, RequestId
from marigolddoor_core.state.results import Refusal, Refused, Result
from marigolddoor_core.state.snapshots import RequestResult

__all__ = ["RequestResults"]

# At 12,000 changes a day this covers about two hours of requests.
REQUESTS_KEPT = 1_000
NAME_LIMIT = 256


class RequestResults:
    """Stores the first result of each request by its id."""

    def __init__(self) -> None:
        self.results: OrderedDict[RequestId, Result] = OrderedDict()

    def apply_once(
        self, request: RequestId, author: OperatorId, apply: Callable[[], Result]
    ) -> Result:
        """Return the stored result of `request`, or else that of `apply`, which is then stored."""
        if not all(0 < len(name) <= NAME_LIMIT for name in (request, author)):
            return Refused(
                Refusal.INVALID,
                f"a change needs a request id and an author, each of 1 to {NAME_LIMIT} characters",
            )
        stored = self.results.get(request)
        if stored is not None:
            return stored
        result = apply()
        self.results[request] = result
        while len(self.results) > REQUESTS_KEPT:
            self.results.popitem(last=False)
        return result

    def entries(self) -> Iterator[RequestResult]:
        """Iterate over the results in the order of their requests."""
        return (RequestResult(request, result) for request, result in self.results.items())

    def restore(self, entries: Iterable[RequestResult]) -> None:
        """Replace all results with those of a snapshot."""
        self.results = OrderedDict((entry.request, entry.result) for entry in entries)
