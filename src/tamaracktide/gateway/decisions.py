"""Decision records of recent requests, for `tamaracktidectl explain`."""

import collections
import dataclasses
import time


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """One decision about a request.

    Attributes:
        at_unix_s: Time of the decision.
        step: Kind of the decision, such as `grant`, `refused` or `retry`.
        detail: Reason, with the names of the instances and cells concerned.
        upstream: Instance id of the upstream, if one was chosen.
        code: Numeric result code, 0 for none.
    """

    at_unix_s: float
    step: str
    detail: str = ""
    upstream: str = ""
    code: int = 0


class DecisionLog:
    """Keeps the decisions of the `max_requests` latest requests."""

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
        """Adds a decision, evicting the oldest request beyond the limit."""
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
        """Returns a request's decisions, empty for an unknown request."""
        return tuple(self._records.get(request_id, ()))
