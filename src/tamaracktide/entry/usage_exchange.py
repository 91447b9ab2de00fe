"""Reports of usage between instances, through relays in a large cluster.

Reports contain changes. A relay names the report of each member that its totals
contain, and the member subtracts its own.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

import anyio

from tamaracktide.core import usage_caps
from tamaracktide.entry import peers as entry_peers
from tamaracktide.entry import usage as entry_usage
from tamaracktide.observability import logs
from tamaracktide.protocol import codec
from tamaracktide.protocol import entry_messages

MAX_UNACKNOWLEDGED = 64
"""Own reports that are kept until a relay's totals contain them."""

_TOTALS = "totals"
"""Source of what a member's relay reports."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Heard:
    """A report of usage.

    Attributes:
        at: When it arrived.
        instances: Instances whose usage it contains.
    """

    at: float
    instances: int


class UsageExchange:
    """Sends the usage of this instance and applies that of the others.

    Attributes:
        peers: The links; set after construction.
        meter: The usage caps; set after construction.
    """

    def __init__(
        self, instance: str, count_instances: Callable[[], int]
    ) -> None:
        """Starts without reports; `peers` and `meter` must be set before.

        Args:
            instance: Id of this instance.
            count_instances: Returns the number of instances.
        """
        self.peers: entry_peers.Peers | None = None
        self.meter: entry_usage.UsageMeter | None = None
        self._instance = instance
        self._count_instances = count_instances
        self._heard: dict[str, _Heard] = {}
        self._acknowledged: dict[str, int] = {}
        self._group: entry_usage.UsageByWorkspace = {}
        self._all: entry_usage.UsageByWorkspace = {}
        self._unsent: entry_usage.UsageByWorkspace = {}
        self._unacknowledged: dict[int, entry_usage.UsageByWorkspace] = {}
        self._sequence = 0
        self._was_relay = False
        self._had_relay = ""
        self._relays_reported_at = float("-inf")
        self._logged_fraction = 1.0

    def find_heard_fraction(self) -> float:
        """Returns the fraction of all instances whose usage is known here."""
        heard = 1 + self._count_heard(self._heard)
        return heard / max(heard, self._count_instances())

    def _count_heard(self, reports: Mapping[str, _Heard]) -> int:
        oldest = anyio.current_time() - usage_caps.SOURCE_TIMEOUT_S
        return sum(
            report.instances
            for report in reports.values()
            if report.at >= oldest
        )

    def send_reports(self) -> None:
        """Sends the usage of one report period, if there are caps."""
        peers, meter = self.peers, self.meter
        if peers is None or meter is None or not meter.has_caps:
            return
        self._check_role(peers)
        meter.drop_silent()
        self._log_heard()
        own = meter.take_unreported()
        if peers.is_relay:
            _add(self._group, own)
            _add(self._all, own)
            self._report_to_relays(peers)
            self._report_to_members(peers)
            return
        _add(self._unsent, own)
        self._report_to_own_relay(peers)

    def _check_role(self, peers: entry_peers.Peers) -> None:
        """Forgets reports of an earlier role or relay."""
        if (peers.is_relay, peers.relay) == (self._was_relay, self._had_relay):
            return
        self._was_relay, self._had_relay = peers.is_relay, peers.relay
        self._heard.clear()
        self._acknowledged.clear()
        self._unacknowledged.clear()
        self._group, self._all = {}, {}

    def _log_heard(self) -> None:
        fraction = self.find_heard_fraction()
        if fraction == self._logged_fraction:
            return
        self._logged_fraction = fraction
        logs.bind(
            heard_fraction=round(fraction, 3), instances=self._count_instances()
        ).info("share of the usage caps changed")

    def _report_to_relays(self, peers: entry_peers.Peers) -> None:
        now = anyio.current_time()
        if not peers.plan.is_flat:
            tolerance_s = entry_peers.REPORT_PERIOD_S / 2
            period_s = entry_peers.RELAY_REPORT_PERIOD_S - tolerance_s
            if now < self._relays_reported_at + period_s:
                return
        self._relays_reported_at = now
        group, self._group = self._group, {}
        members = {peer.instance for peer in peers.list_members()}
        self._sequence += 1
        heard = {
            name: report
            for name, report in self._heard.items()
            if name in members
        }
        _send_all(
            peers.list_relays(),
            entry_messages.UsageReport(
                sequence=self._sequence,
                instances=1 + self._count_heard(heard),
                usage=_encode(group),
            ),
        )

    def _report_to_members(self, peers: entry_peers.Peers) -> None:
        totals, self._all = self._all, {}
        _send_all(
            peers.list_members(),
            entry_messages.UsageTotals(
                instances=1 + self._count_heard(self._heard),
                acknowledged=dict(self._acknowledged),
                usage=_encode(totals),
            ),
        )

    def _report_to_own_relay(self, peers: entry_peers.Peers) -> None:
        report = entry_messages.UsageReport(
            sequence=self._sequence + 1,
            instances=1,
            usage=_encode(self._unsent),
        )
        if not peers.relay or not peers.send(peers.relay, report):
            return
        self._sequence += 1
        self._unacknowledged[self._sequence] = self._unsent
        self._unsent = {}
        if len(self._unacknowledged) > MAX_UNACKNOWLEDGED:
            del self._unacknowledged[next(iter(self._unacknowledged))]

    def apply_report(
        self, peer: entry_peers.Peer, report: entry_messages.UsageReport
    ) -> None:
        """Applies the report of a member or of another relay."""
        peers, meter = self.peers, self.meter
        if peers is None or meter is None or not peers.is_relay:
            return
        usage = _decode(report.usage)
        meter.apply_report(peer.instance, usage)
        self._heard[peer.instance] = _Heard(
            anyio.current_time(), report.instances
        )
        _add(self._all, usage)
        if peer.is_member:
            _add(self._group, usage)
            self._acknowledged[peer.instance] = report.sequence

    def apply_totals(
        self, peer: entry_peers.Peer, totals: entry_messages.UsageTotals
    ) -> None:
        """Applies the totals of this member's relay."""
        peers, meter = self.peers, self.meter
        if peers is None or meter is None:
            return
        if peers.is_relay or peer.instance != peers.relay:
            return
        usage = _decode(totals.usage)
        acknowledged = totals.acknowledged.get(self._instance, 0)
        for sequence in list(self._unacknowledged):
            if sequence <= acknowledged:
                _subtract(usage, self._unacknowledged.pop(sequence))
        meter.apply_report(_TOTALS, usage)
        self._heard[_TOTALS] = _Heard(
            anyio.current_time(), max(0, totals.instances - 1)
        )

    def handle_loss(self, instance: str) -> None:
        """Forgets an instance whose last link has closed."""
        self._heard.pop(instance, None)
        self._acknowledged.pop(instance, None)
        if instance == self._had_relay:
            self._unacknowledged.clear()


def _send_all(
    receivers: list[entry_peers.Peer],
    message: entry_messages.UsageReport | entry_messages.UsageTotals,
) -> None:
    if not receivers:
        return
    encoded = codec.encode_message(message)
    for peer in receivers:
        peer.send(encoded)


def _add(
    totals: entry_usage.UsageByWorkspace, added: entry_usage.UsageByWorkspace
) -> None:
    for name, usage in added.items():
        totals[name] = totals.get(name, usage_caps.Usage()) + usage


def _subtract(
    totals: entry_usage.UsageByWorkspace, own: entry_usage.UsageByWorkspace
) -> None:
    for name, usage in own.items():
        totals[name] = totals.get(name, usage_caps.Usage()) - usage


def _encode(
    usage: entry_usage.UsageByWorkspace,
) -> dict[str, entry_messages.WorkspaceUsage]:
    return {
        name: entry_messages.WorkspaceUsage(
            round(value.admitted), round(value.offered)
        )
        for name, value in usage.items()
    }


def _decode(
    usage: Mapping[str, entry_messages.WorkspaceUsage],
) -> entry_usage.UsageByWorkspace:
    return {
        name: usage_caps.Usage(value.admitted, value.offered)
        for name, value in usage.items()
    }
