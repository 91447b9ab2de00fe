"""Decision records of the latest requests, for `tamaracktidectl explain`."""

import collections
import dataclasses
import time


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """One decision about a request.

    Attributes:
        at_unix_s: Time of the decision.
        step: What was decided, such as `ask`, `grant`, `retry`, `end`.
        detail: Why, with the names that mattered.
        upstream: Instance id of the upstream, if one was chosen.
        code: Number of the result code, 0 for none.
    """

    at_unix_s: float
    step: str
    detail: str = ""
    upstream: str = ""
    code: int = 0


class DecisionLog:
    """Keeps the decisions of a bounded number of requests."""

    __slots__ = ("_max_requests", "_records")

    def __init__(self, max_requests: int) -> None:
        """Builds an empty log."""
        self._max_requests = max_requests
        self._records: collections.OrderedDict[str, list[Decision]] = (
            collections.OrderedDict()
        )

    def add(
        self,
        request_id: str,
        step: str,
        detail: str = "",
        *,
        upstream: str = "",
        code: int = 0,
    ) -> None:
        """Adds a decision; the oldest request is forgotten if needed."""
        decisions = self._records.get(request_id)
        if decisions is None:
            decisions = self._records[request_id] = []
            if len(self._records) > self._max_requests:
                self._records.popitem(last=False)
        decisions.append(
            Decision(
                at_unix_s=time.time(),
                step=step,
                detail=detail,
                upstream=upstream,
                code=code,
            )
        )

    def find(self, request_id: str) -> tuple[Decision, ...]:
        """Returns a request's decisions, empty if it is not known."""
        return tuple(self._records.get(request_id, ()))
