"""Reports between instances, and the sums over all instances that they give.

Members report to their relay, relays report the sums of their groups to each
other, and each relay reports the sums over all instances to its members. Counts
travel as changes, so a report grows with what happened since the last one.
"""

import collections
from collections.abc import Callable
import dataclasses

import anyio

from tamaracktide.core import catch_up
from tamaracktide.core import crash_evidence
from tamaracktide.core import paces as core_paces
from tamaracktide.core import running_counts
from tamaracktide.core import upstream_health
from tamaracktide.entry import engine_views
from tamaracktide.entry import peers as entry_peers
from tamaracktide.observability import logs
from tamaracktide.protocol import codec
from tamaracktide.protocol import entry_messages

INSTANCE_EXPIRY_S = 30.0
"""Time for which a higher number of instances stays in force after a decrease,
as the shared retry budget is divided by it."""

MAX_REPORTED_REQUESTS = 100
"""Limit on the requests for an adapter that are counted from one report."""

OWN_COUNTS_KEPT = 40
"""Number of own reports whose counts are kept until the relay has included
them; ten seconds of reports."""

NOT_USED_S = -1.0
"""Store silence reported by an instance that does not use the store."""

ResultsByUpstream = dict[str, upstream_health.Results]
"""Results of requests by upstream."""

PacesByUpstream = dict[str, core_paces.PaceSum]
"""Streams since the last report, by engine."""

_CLUSTER = "\x00cluster"
_OWN = "\x00own"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnState:
    """What an instance reports about itself.

    Attributes:
        running: Its requests by upstream and adapter.
        rights: The lease terms that it holds.
        loads: Number of adapters loading in its cells.
        known: What it knows of the store.
        store_silent_s: Time since the store responded to it; 0 while it
            responds, `NOT_USED_S` if it does not use the store.
        quarantined: Requests and parts of prompts that crash upstreams.
        draining: Whether it is shutting down.
        cut_off: Services of which it reaches no upstream.
    """

    running: running_counts.Counts
    rights: tuple[entry_messages.LeaseNotice, ...]
    loads: int
    known: catch_up.StoreVersions
    store_silent_s: float
    quarantined: crash_evidence.Quarantined
    draining: bool
    cut_off: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dependencies:
    """What the exchange of reports depends on.

    Attributes:
        ip: Address of this instance.
        instance: Its id.
        get_own: Returns the state of this instance.
        views: Tracked states of the engines, for the reports to members.
        apply_counts: Called with the changed counts of other instances.
        apply_demand: Called with an adapter and its requests elsewhere.
        apply_engines: Called with the states of engines.
        apply_quarantined: Called with what other instances quarantined.
        apply_holders: Called when the lease holders may have changed.
        take_results: Returns the results of own requests since the last call.
        apply_results: Called with the results of another instance.
        take_paces: Returns the own streams of engines since the last call.
        apply_paces: Called with the streams that other instances reported.
    """

    ip: str
    instance: str
    get_own: Callable[[], OwnState]
    views: engine_views.EngineViews
    apply_counts: Callable[[running_counts.Counts], None]
    apply_demand: Callable[[str, int], None]
    apply_engines: Callable[[tuple[entry_messages.EngineNotice, ...]], None]
    apply_quarantined: Callable[[crash_evidence.Quarantined], None]
    apply_holders: Callable[[], None]
    take_results: Callable[[], ResultsByUpstream]
    apply_results: Callable[[ResultsByUpstream], None]
    take_paces: Callable[[], PacesByUpstream]
    apply_paces: Callable[[PacesByUpstream], None]


class ReportExchange:
    """Sends reports and applies those of other instances.

    Attributes:
        peers: The links; set after construction.
        holders: Lease holders of the cells, as a relay reported them.
        store_silent_s: Time since the store responded to any instance, as a
            relay reported it.
    """

    def __init__(self, dependencies: Dependencies) -> None:
        """Starts without reports; `peers` must be set before the first one."""
        self.peers: entry_peers.Peers | None = None
        self.holders: dict[str, str] = {}
        self.store_silent_s = 0.0
        self._dependencies = dependencies
        self._table = running_counts.CountTable()
        self._sequence = 0
        self._own_counts: collections.OrderedDict[
            int, running_counts.Counts
        ] = collections.OrderedDict()
        self._asked: collections.Counter[str] = collections.Counter()
        self._acknowledged: dict[str, int] = {}
        self._group_sent: running_counts.Counts = {}
        self._cluster_sent: running_counts.Counts = {}
        self._group_results: dict[str, ResultsByUpstream] = {}
        self._group_paces: PacesByUpstream = {}
        self._all_paces: PacesByUpstream = {}
        self._changed_engines: set[str] = set()
        self._own_engines: dict[str, entry_messages.EngineNotice] = {}
        self._relays_reported_at = float("-inf")
        self._remote_instances = 0
        self._max_instances = 1
        self._max_until = float("-inf")
        self._was_relay = False

    def record_request(self, adapter: str) -> None:
        """Counts a request of this instance for the next report."""
        self._asked[adapter] += 1

    def record_engine(self, notice: entry_messages.EngineNotice) -> None:
        """Reports the state of an engine in a cell of this instance."""
        peers = self._get_peers()
        if peers.plan.is_flat:
            peers.broadcast(notice)
        else:
            self._own_engines[notice.upstream] = notice
        self._changed_engines.add(notice.upstream)

    def count_running(self, upstream: str) -> dict[str, int]:
        """Returns the requests of other instances, by adapter."""
        totals = self._table.totals.get(upstream, {})
        return {name: count for name, count in totals.items() if count > 0}

    def count_loads(self) -> int:
        """Returns the number of adapters that the other relays are loading."""
        return sum(
            peer.report.loads
            for peer in self._get_peers().list_relays()
            if peer.report is not None
        )

    def count_instances(self) -> int:
        """Returns the number of instances; a decrease counts only later.

        An instance without a link can't tell whether the others have ended or
        serve on, and counts all that are registered.
        """
        now = anyio.current_time()
        count = self._count_current()
        peers = self._get_peers()
        if not peers.list_linked():
            count = max(count, 1 + len(peers.list_instances()))
        if count >= self._max_instances or now >= self._max_until:
            self._max_instances = count
            self._max_until = now + INSTANCE_EXPIRY_S
        return self._max_instances

    def send_reports(self) -> None:
        """Sends the reports of one period."""
        peers = self._get_peers()
        own = self._dependencies.get_own()
        self._sequence += 1
        self._own_counts[self._sequence] = running_counts.copy_counts(
            own.running
        )
        if len(self._own_counts) > OWN_COUNTS_KEPT:
            self._own_counts.popitem(last=False)
        is_relay = peers.is_relay
        if is_relay != self._was_relay:
            self._change_role(is_relay)
        if not is_relay:
            self._send_member_report(own)
            return
        own_paces = self._dependencies.take_paces()
        core_paces.add_sums(self._group_paces, own_paces)
        core_paces.add_sums(self._all_paces, own_paces)
        now = anyio.current_time()
        period_s = 0.0
        if not peers.plan.is_flat:
            period_s = entry_peers.RELAY_REPORT_PERIOD_S
        # Half a report period of tolerance for late timers.
        tolerance_s = entry_peers.REPORT_PERIOD_S / 2
        if now >= self._relays_reported_at + period_s - tolerance_s:
            self._relays_reported_at = now
            self._report_to_relays(own)
        self._report_to_members(own)

    def _change_role(self, is_relay: bool) -> None:
        """Makes the next report on each link a full one of the new kind.

        A relay gets the sums of the other relays from themselves, so those of
        the relay that it had are dropped.
        """
        self._was_relay = is_relay
        if is_relay:
            self._detach()
            self._apply_changes()
        for peer in self._get_peers().list_linked():
            for link in peer.links:
                link.is_current = False
        logs.bind(is_relay=is_relay).info("role in the reports changed")

    def handle_open(
        self, peer: entry_peers.Peer, link: entry_peers.Link
    ) -> None:
        """Sends the first report on a new link.

        An instance is a member of those that it opened a link to only.
        """
        own = self._dependencies.get_own()
        if self._get_peers().is_relay:
            group = self._sum_group(own)
            report = self._make_relay_report(own, group, is_full=True)
        elif link.is_dialled:
            report = self._make_member_report(own, own.running, is_full=True)
        else:
            return
        link.queue.put(report)
        link.is_current = False

    def handle_loss(self, instance: str) -> None:
        """Drops the counts of an instance whose last link has closed."""
        self._table.remove(instance)
        self._acknowledged.pop(instance, None)
        self._apply_changes()
        self._dependencies.apply_holders()

    def apply_report(
        self,
        peer: entry_peers.Peer,
        link: entry_peers.Link,
        report: entry_messages.InstanceReport,
    ) -> None:
        """Applies the report of a member or of another relay."""
        before, peer.report = peer.report, report
        peer.known = report.known
        peer.cut_off, peer.draining = frozenset(report.cut_off), report.draining
        if report.draining:
            self._get_peers().avoid_draining(peer.instance)
        if before is None or before.is_relay != report.is_relay:
            # The peer expects reports of another kind now.
            link.is_current = False
        if report.is_relay and not self._get_peers().is_relay:
            # This member gets the sums over all relays from its own relay.
            peer.stream = None
            return
        if report.is_full:
            peer.stream = link
        if peer.stream is link:
            self._table.apply(
                peer.instance, report.running, is_full=report.is_full
            )
            self._acknowledged[peer.instance] = report.sequence
        self._apply_demand(peer, report)
        self._apply_results(peer, report)
        self._apply_paces(peer, report)
        self.apply_engines(report.engines)
        self._dependencies.apply_quarantined(_get_quarantined(report))
        self._apply_changes()
        if before is None or _list_cells(before) != _list_cells(report):
            self._dependencies.apply_holders()

    def _apply_demand(
        self, peer: entry_peers.Peer, report: entry_messages.InstanceReport
    ) -> None:
        for name, count in report.asked.items():
            count = min(count, MAX_REPORTED_REQUESTS)
            self._dependencies.apply_demand(name, count)
            if peer.is_member:
                self._asked[name] += count

    def _apply_results(
        self, peer: entry_peers.Peer, report: entry_messages.InstanceReport
    ) -> None:
        """Applies the results of a member and keeps them for the others."""
        if not report.results:
            return
        results = self._group_results.setdefault(peer.instance, {})
        upstream_health.add_results(results, report.results)
        self._dependencies.apply_results(report.results)

    def _apply_paces(
        self, peer: entry_peers.Peer, report: entry_messages.InstanceReport
    ) -> None:
        """Applies reported paces and keeps them for those who lack them."""
        if not report.paces:
            return
        self._dependencies.apply_paces(report.paces)
        core_paces.add_sums(self._all_paces, report.paces)
        if peer.is_member:
            core_paces.add_sums(self._group_paces, report.paces)

    def apply_engines(
        self, notices: tuple[entry_messages.EngineNotice, ...]
    ) -> None:
        """Applies the states of engines and passes them on to members."""
        if not notices:
            return
        self._changed_engines.update(notice.upstream for notice in notices)
        self._dependencies.apply_engines(notices)

    def apply_cluster_report(
        self, peer: entry_peers.Peer, report: entry_messages.ClusterReport
    ) -> None:
        """Applies the report of this member's relay."""
        peer.known = report.known
        peers = self._get_peers()
        if peers.is_relay:
            return
        peer.cut_off, peer.draining = frozenset(report.cut_off), report.draining
        if report.draining:
            peers.avoid_draining(peer.instance)
        if peer.instance != peers.relay and not self._attach(peer, report):
            return
        self._table.apply(_CLUSTER, report.running, is_full=report.is_full)
        self._subtract_own(report.acknowledged)
        if report.engines:
            self._dependencies.apply_engines(report.engines)
        self._dependencies.apply_quarantined(_get_quarantined(report))
        self._dependencies.apply_paces(report.paces)
        for instance, results in report.results.items():
            if instance != self._dependencies.instance:
                self._dependencies.apply_results(results)
        self._apply_changes()
        self.store_silent_s = report.store_silent_s
        self._remote_instances = report.instances
        if report.holders != self.holders:
            self.holders = report.holders
            self._dependencies.apply_holders()

    def _attach(
        self, peer: entry_peers.Peer, report: entry_messages.ClusterReport
    ) -> bool:
        """Changes to another relay, if the report allows it."""
        peers = self._get_peers()
        is_planned = peer.instance == peers.plan.relay
        if not report.is_full or not (is_planned or not peers.relay):
            return False
        for name in list(peers.known):
            self._table.remove(name)
        peers.attach(peer.instance)
        return True

    def _get_peers(self) -> entry_peers.Peers:
        assert self.peers is not None
        return self.peers

    def _apply_changes(self) -> None:
        changed = self._table.take_changed()
        if changed:
            self._dependencies.apply_counts(changed)

    def _detach(self) -> None:
        """Drops the sums of the relay that this member had."""
        self._table.remove(_CLUSTER)
        self._table.remove(_OWN)

    def _subtract_own(self, acknowledged: dict[str, int]) -> None:
        """Subtracts the counts of this instance that the sums contain."""
        instance = self._dependencies.instance
        counts = self._own_counts.get(acknowledged.get(instance, 0), {})
        negative = {
            upstream: {name: -count for name, count in names.items()}
            for upstream, names in counts.items()
        }
        self._table.apply(_OWN, negative, is_full=True)

    def _count_current(self) -> int:
        peers = self._get_peers()
        if not peers.is_relay:
            return max(1, self._remote_instances)
        return self._count_group() + sum(
            peer.report.instances
            for peer in peers.list_relays()
            if peer.report is not None
        )

    def _count_group(self) -> int:
        return 1 + len(self._get_peers().list_members())

    def _sum_group(self, own: OwnState) -> running_counts.Counts:
        members = self._get_peers().list_members()
        sources = [self._table.find_source(peer.instance) for peer in members]
        return running_counts.add_counts(own.running, *sources)

    def _sum_cluster(self, own: OwnState) -> running_counts.Counts:
        return running_counts.add_counts(own.running, self._table.totals)

    def _send_member_report(self, own: OwnState) -> None:
        """Sends a report to the relay, and to a relay that is to follow it."""
        asked, self._asked = self._asked, collections.Counter()
        previous = self._own_counts.get(self._sequence - 1, {})
        changes = running_counts.find_changes(previous, own.running)
        current = self._make_member_report(own, changes, is_full=False)
        current = dataclasses.replace(
            current,
            asked=dict(asked),
            results=self._dependencies.take_results(),
            paces=self._dependencies.take_paces(),
        )
        links = [
            link
            for peer in self._get_peers().list_linked()
            for link in peer.links
            if link.is_dialled
        ]
        for link in links:
            report = current
            if not link.is_current:
                report = dataclasses.replace(
                    current, running=own.running, is_full=True
                )
            link.is_current = link.queue.put(report)

    def _make_member_report(
        self, own: OwnState, running: running_counts.Counts, *, is_full: bool
    ) -> entry_messages.InstanceReport:
        return entry_messages.InstanceReport(
            sequence=self._sequence,
            is_full=is_full,
            is_relay=False,
            ip=self._dependencies.ip,
            instances=1,
            running=running_counts.copy_counts(running),
            asked={},
            rights=own.rights,
            loads=own.loads,
            store_silent_s=own.store_silent_s,
            known=own.known,
            quarantined=own.quarantined.requests,
            quarantined_parts=own.quarantined.parts,
            quarantined_groups=own.quarantined.groups,
            draining=own.draining,
            cut_off=own.cut_off,
        )

    def _make_relay_report(
        self, own: OwnState, running: running_counts.Counts, *, is_full: bool
    ) -> entry_messages.InstanceReport:
        report = self._make_member_report(own, running, is_full=is_full)
        quarantined = self._sum_quarantined(own, members_only=True)
        return dataclasses.replace(
            report,
            is_relay=True,
            instances=self._count_group(),
            store_silent_s=self._find_store_silence(own, members_only=True),
            quarantined=quarantined.requests,
            quarantined_parts=quarantined.parts,
            quarantined_groups=quarantined.groups,
        )

    def _report_to_relays(self, own: OwnState) -> None:
        group = self._sum_group(own)
        changes = running_counts.find_changes(self._group_sent, group)
        self._group_sent = group
        asked, self._asked = self._asked, collections.Counter()
        engines = tuple(self._own_engines.values())
        self._own_engines = {}
        partial = dataclasses.replace(
            self._make_relay_report(own, changes, is_full=False),
            asked=dict(asked),
            engines=engines,
            paces=self._group_paces,
        )
        self._group_paces = {}
        full = dataclasses.replace(partial, running=group, is_full=True)
        self._put_all(
            [
                peer
                for peer in self._get_peers().list_linked()
                if not peer.is_member
            ],
            partial,
            full,
        )

    def _report_to_members(self, own: OwnState) -> None:
        cluster = self._sum_cluster(own)
        changes = running_counts.find_changes(self._cluster_sent, cluster)
        self._cluster_sent = cluster
        changed, self._changed_engines = self._changed_engines, set()
        results, self._group_results = self._group_results, {}
        paces, self._all_paces = self._all_paces, {}
        own_results = self._dependencies.take_results()
        if own_results:
            results[self._dependencies.instance] = own_results
        members = self._get_peers().list_members()
        if not members:
            return
        now = anyio.current_time()
        notices = [
            self._dependencies.views.make_notice(upstream, now)
            for upstream in changed
        ]
        partial = self._make_cluster_report(
            own,
            changes,
            [notice for notice in notices if notice is not None],
            is_full=False,
        )
        partial = dataclasses.replace(partial, results=results, paces=paces)
        full = partial
        if not all(peer.links[-1].is_current for peer in members):
            full = self._make_cluster_report(
                own,
                cluster,
                self._dependencies.views.list_notices(now),
                is_full=True,
            )
        self._put_all(members, partial, full)

    def _make_cluster_report(
        self,
        own: OwnState,
        running: running_counts.Counts,
        engines: list[entry_messages.EngineNotice],
        *,
        is_full: bool,
    ) -> entry_messages.ClusterReport:
        quarantined = self._sum_quarantined(own, members_only=False)
        return entry_messages.ClusterReport(
            is_full=is_full,
            acknowledged={
                peer.instance: self._acknowledged.get(peer.instance, 0)
                for peer in self._get_peers().list_members()
            },
            running=running,
            engines=tuple(engines),
            holders=self._list_holders(own),
            instances=self._count_current(),
            store_silent_s=self._find_store_silence(own, members_only=False),
            quarantined=quarantined.requests,
            quarantined_parts=quarantined.parts,
            quarantined_groups=quarantined.groups,
            draining=own.draining,
            cut_off=own.cut_off,
            known=own.known,
        )

    def _put_all(
        self,
        receivers: list[entry_peers.Peer],
        partial: entry_messages.InstanceReport | entry_messages.ClusterReport,
        full: entry_messages.InstanceReport | entry_messages.ClusterReport,
    ) -> None:
        """Queues a report, a full one on links that have had none."""
        encoded = codec.encode_message(partial) if receivers else b""
        for peer in receivers:
            link = peer.links[-1]
            if link.is_current:
                link.is_current = link.queue.put(encoded)
            else:
                link.is_current = link.queue.put(full)

    def _list_holders(self, own: OwnState) -> dict[str, str]:
        holders = {
            notice.cell: peer.instance
            for peer in self._get_peers().list_relays()
            if peer.report is not None
            for notice in peer.report.rights
        }
        name = self._dependencies.instance
        return holders | {notice.cell: name for notice in own.rights}

    def _find_store_silence(
        self, own: OwnState, *, members_only: bool
    ) -> float:
        peers = self._get_peers()
        linked = peers.list_members() if members_only else peers.list_linked()
        silent = [
            peer.report.store_silent_s
            for peer in linked
            if peer.report is not None
        ]
        used = [value for value in (own.store_silent_s, *silent) if value >= 0]
        return min(used, default=NOT_USED_S)

    def _sum_quarantined(
        self, own: OwnState, *, members_only: bool
    ) -> crash_evidence.Quarantined:
        peers = self._get_peers()
        linked = peers.list_members() if members_only else peers.list_linked()
        known = [own.quarantined]
        known.extend(
            _get_quarantined(peer.report)
            for peer in linked
            if peer.report is not None
        )
        return crash_evidence.Quarantined(
            requests=tuple(sorted({n for q in known for n in q.requests})),
            groups=tuple(sorted({g for q in known for g in q.groups})),
        )


def _get_quarantined(
    report: entry_messages.InstanceReport | entry_messages.ClusterReport,
) -> crash_evidence.Quarantined:
    # Builds that name no groups take each part that crashes share for a cause.
    return crash_evidence.Quarantined(
        requests=report.quarantined, groups=report.quarantined_groups
    )


def _list_cells(report: entry_messages.InstanceReport) -> set[str]:
    return {notice.cell for notice in report.rights}
