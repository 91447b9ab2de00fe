"""The cells of an entry instance, one for each service."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

from tamaracktide.core import routing_document
from tamaracktide.core import running_counts
from tamaracktide.core import upstream_entries
from tamaracktide.entry import report_exchange
from tamaracktide.entry import service_cell


class Cells:
    """Passes on to all cells what concerns them, and sums what they report.

    Attributes:
        by_service: The cells, by the name of their service.
    """

    __slots__ = ("_make_cell", "by_service")

    def __init__(
        self,
        make_cell: Callable[
            [routing_document.Service], service_cell.ServiceCell
        ],
    ) -> None:
        """Starts without cells.

        Args:
            make_cell: Returns a cell for a service.
        """
        self.by_service: dict[str, service_cell.ServiceCell] = {}
        self._make_cell = make_cell

    def find(
        self, service: routing_document.Service
    ) -> service_cell.ServiceCell:
        """Returns the cell of a service, which is made if necessary."""
        cell = self.by_service.get(service.name)
        if cell is None:
            cell = self.by_service[service.name] = self._make_cell(service)
        return cell

    def update_services(
        self, services: Mapping[str, routing_document.Service]
    ) -> None:
        """Applies the services of a routing document."""
        for service in services.values():
            self.find(service).service = service
        self.refresh()

    def refresh(self) -> None:
        """Reads the state of all upstreams."""
        for cell in self.by_service.values():
            cell.refresh()

    def refresh_orderable(self) -> None:
        """Applies whether loads may be ordered, where that has changed."""
        for cell in self.by_service.values():
            cell.refresh_orderable()

    def refresh_upstreams(
        self, entries: Iterable[upstream_entries.UpstreamEntry]
    ) -> None:
        """Reads the state of some upstreams."""
        known = list(entries)
        for name, cell in self.by_service.items():
            cell.refresh_upstreams([e for e in known if e.service == name])

    def remove_upstreams(self, upstreams: Collection[str]) -> None:
        """Removes upstreams that are no longer listed."""
        for cell in self.by_service.values():
            cell.remove_upstreams(upstreams)

    def suspend_evictions(
        self, upstreams: Collection[str], suspended: bool
    ) -> None:
        """Suspends evictions on some engines, or resumes them."""
        for cell in self.by_service.values():
            cell.suspend_evictions(upstreams, suspended)

    def apply_counts(self, counts: running_counts.Counts) -> None:
        """Applies the changed counts of requests of other instances."""
        for cell in self.by_service.values():
            cell.apply_remote_counts(counts)

    def apply_demand(self, model: str, adapter: str, count: int) -> None:
        """Records requests for an adapter that other instances received."""
        for cell in self.by_service.values():
            engine = cell.service.engine
            if engine is not None and model in engine.models:
                cell.record_demand(model, adapter, count)

    def take_results(self) -> report_exchange.ResultsByUpstream:
        """Returns results to report; those of a cut-off instance mislead."""
        taken = [
            (cell.reachability.is_cut_off, cell.health.take_results())
            for cell in self.by_service.values()
        ]
        return {
            upstream: observed
            for is_cut_off, results in taken
            if not is_cut_off
            for upstream, observed in results.items()
        }

    def apply_results(self, results: report_exchange.ResultsByUpstream) -> None:
        """Applies the results of requests of another instance."""
        for cell in self.by_service.values():
            cell.apply_results(results)

    def take_paces(self) -> report_exchange.PacesByUpstream:
        """Returns the paces to report, and applies what is known by now."""
        taken: report_exchange.PacesByUpstream = {}
        for cell in self.by_service.values():
            cell.refresh_paces()
            taken.update(cell.paces.take_unreported())
        return taken

    def apply_paces(self, paces: report_exchange.PacesByUpstream) -> None:
        """Applies the paces of engines that other instances observed."""
        for cell in self.by_service.values():
            cell.apply_paces(paces)

    def list_running(self) -> running_counts.Counts:
        """Returns the requests of this instance, by upstream and adapter."""
        return {
            upstream: dict(counts)
            for cell in self.by_service.values()
            for upstream, counts in cell.running.items()
            if counts
        }

    def is_in_use(self, upstream: str, name: str) -> bool:
        """Whether a request of this instance uses an adapter there."""
        return any(
            cell.running.get(upstream, {}).get(name)
            for cell in self.by_service.values()
        )

    def list_cut_off(self) -> tuple[str, ...]:
        """Returns the services of which no upstream is reachable."""
        return tuple(
            name
            for name, cell in self.by_service.items()
            if cell.reachability.is_cut_off
        )
