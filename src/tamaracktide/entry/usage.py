"""Charges requests to the usage caps of their workspaces."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

import anyio

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import randomness
from tamaracktide.core import usage_caps
from tamaracktide.core import workspaces
from tamaracktide.entry import requests
from tamaracktide.observability import logs
from tamaracktide.observability import metrics as metrics_module

UsageByWorkspace = dict[str, usage_caps.Usage]
"""Usage since the last report, by workspace."""

MAX_LABELS = 64
"""Workspaces with metrics of their own; the others are counted as one."""

OTHER_LABEL = "other"


@dataclasses.dataclass(frozen=True, slots=True)
class Charge:
    """What a request was charged.

    Attributes:
        workspace: Name of the workspace.
        amount: Units of its cap.
    """

    workspace: str
    amount: float


class UsageMeter:
    """Usage caps of all workspaces at one instance."""

    __slots__ = (
        "_caps",
        "_find_heard_fraction",
        "_labels",
        "_metrics",
        "_rng",
        "_settings",
        "_tolerance",
    )

    def __init__(
        self,
        tolerance: usage_caps.Tolerance,
        find_heard_fraction: Callable[[], float],
        metrics: metrics_module.Metrics,
        rng: randomness.Random,
    ) -> None:
        """Starts without caps.

        Args:
            tolerance: By how much caps may be exceeded.
            find_heard_fraction: Returns the fraction of all instances whose
                usage is known here.
            metrics: Counts the usage.
            rng: Draws jitter.
        """
        self._tolerance = tolerance
        self._find_heard_fraction = find_heard_fraction
        self._metrics = metrics
        self._rng = rng
        self._settings: dict[str, workspaces.Cap] = {}
        self._caps: dict[str, usage_caps.UsageCap] = {}
        self._labels: set[str] = set()

    @property
    def has_caps(self) -> bool:
        """Whether any workspace has a cap."""
        return bool(self._caps)

    def set_workspaces(self, known: Mapping[str, workspaces.Workspace]) -> None:
        """Applies the caps of a routing document."""
        now = anyio.current_time()
        settings = {
            name: workspace.cap
            for name, workspace in known.items()
            if workspace.cap.rate_per_s
        }
        for name in self._caps.keys() - settings.keys():
            del self._caps[name]
            logs.bind(workspace=name).info("usage cap removed")
        for name, cap in settings.items():
            if self._settings.get(name) != cap:
                self._set_cap(name, cap, now)
        self._settings = settings

    def _set_cap(self, name: str, cap: workspaces.Cap, now: float) -> None:
        logs.bind(
            workspace=name,
            rate_per_s=cap.rate_per_s,
            burst=cap.burst,
            unit=cap.unit.value,
        ).info("usage cap set")
        if name in self._caps:
            self._caps[name].set_cap(cap, now)
            return
        self._caps[name] = usage_caps.UsageCap(
            cap, self._tolerance, self._rng, now
        )

    def charge(
        self, caller: requests.Caller, tokens: int | None, request_id: str
    ) -> Charge | None:
        """Charges a request; returns None if its workspace has no cap.

        Args:
            caller: Who sent it.
            tokens: Tokens that it states; None if it states none.
            request_id: Its id.

        Raises:
            errors.RefusalError: The cap is reached.
        """
        name = caller.workspace
        cap = self._caps.get(name)
        if cap is None:
            return None
        now = anyio.current_time()
        cap.set_heard_fraction(self._find_heard_fraction(), now)
        amount = self._settings[name].measure(tokens)
        if cap.admit(amount, now):
            self._metrics.usage.add(self._make_labels(name), amount)
            return Charge(name, amount)
        self._metrics.usage_refusals.inc(self._make_labels(name))
        retry_after_s = cap.find_retry_after_s(now)
        logs.bind(
            request_id=request_id,
            workspace=name,
            amount=amount,
            tokens_left=round(cap.find_tokens(now)),
            offered_per_s=round(cap.find_offered_rate(now)),
            cap_per_s=self._settings[name].rate_per_s,
            heard_fraction=round(self._find_heard_fraction(), 3),
            report_age_s=round(cap.find_report_age_s(now), 3),
            retry_after_s=round(retry_after_s, 2),
        ).info("request refused: usage cap reached")
        raise errors.RefusalError(
            result_codes.ResultCode.USAGE_CAP_REACHED,
            f"workspace {name!r} has reached its usage cap of "
            f"{self._settings[name].rate_per_s:g} "
            f"{self._settings[name].unit.value} per second",
            retry_after_s,
        )

    def give_back(self, charge: Charge) -> None:
        """Returns the charge of a request that has not run."""
        cap = self._caps.get(charge.workspace)
        if cap is not None:
            cap.give_back(charge.amount, anyio.current_time())
            self._metrics.usage_returned.add(
                self._make_labels(charge.workspace), charge.amount
            )

    def take_unreported(self) -> UsageByWorkspace:
        """Returns the usage of this instance since the last call."""
        taken = {
            name: cap.take_unreported() for name, cap in self._caps.items()
        }
        return {
            name: usage
            for name, usage in taken.items()
            if usage != usage_caps.Usage()
        }

    def apply_report(self, source: str, usage: UsageByWorkspace) -> None:
        """Applies what others have used since their last report."""
        now = anyio.current_time()
        for name, cap in self._caps.items():
            cap.apply_report(source, usage.get(name, usage_caps.Usage()), now)

    def drop_silent(self) -> None:
        """Forgets the rates of instances that no longer report."""
        now = anyio.current_time()
        for cap in self._caps.values():
            cap.drop_silent(now)

    def _make_labels(self, workspace: str) -> dict[str, str]:
        if workspace not in self._labels:
            if len(self._labels) >= MAX_LABELS:
                return {"workspace": OTHER_LABEL}
            self._labels.add(workspace)
        return {"workspace": workspace}
