"""Chooses the service of a request on a route of several services.

A resumed stream stays at the service that began it, also if the shares of its
route have changed since.
"""

import anyio

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import routing_document
from tamaracktide.entry import platform_adapter as entry_adapter
from tamaracktide.entry import resumption as entry_resumption
from tamaracktide.observability import logs


class ServiceChooser:
    """Chooses the services of requests."""

    def __init__(self, resumption: entry_resumption.Resumption) -> None:
        """Builds a chooser on what instances know of streams."""
        self._resumption = resumption
        self._history = resumption.history

    async def choose(
        self,
        route: routing_document.Route,
        path: str,
        fields: entry_adapter.ClientFields,
        expires_at: float,
    ) -> str:
        """Returns the service that must run a request.

        Args:
            route: Its route.
            path: Its path.
            fields: Fields of its headers.
            expires_at: When its response must be complete.

        Raises:
            errors.RefusalError: The service that began the stream is not known,
                or the route does not name it any more.
        """
        begun_as = fields.resumed_request or fields.request_id
        chosen = route.choose_service(begun_as)
        if not (fields.resume_after and route.resumable):
            return chosen
        arrived_at = anyio.current_time()
        service = self._history.find_service(begun_as)
        if not service and self._may_differ(fields.host, path, begun_as):
            service = await self._ask(begun_as)
        if service:
            return self._check(service, chosen, route, fields, expires_at)
        if self._is_unchanged(fields.host, path, begun_as):
            return chosen
        restored = self._history.routes.find_restored_choice(
            fields.host, path, begun_as, anyio.current_time()
        )
        if restored and self._resumption.has_read_records(arrived_at):
            return self._check(restored, chosen, route, fields, expires_at)
        raise errors.RefusalError(
            result_codes.ResultCode.STREAM_SERVICE_UNKNOWN,
            f"service that began {begun_as!r} is not known",
            self._resumption.find_retry_after_s(expires_at, arrived_at),
        )

    def _check(
        self,
        service: str,
        chosen: str,
        route: routing_document.Route,
        fields: entry_adapter.ClientFields,
        expires_at: float,
    ) -> str:
        """Returns the service that began a stream, if the route names it.

        Raises:
            errors.RefusalError: The route does not name it.
        """
        if service not in route.services:
            raise errors.RefusalError(
                result_codes.ResultCode.STREAM_SERVICE_UNKNOWN,
                f"route {route.name!r} does not name {service!r} any more, "
                f"which began {fields.resumed_request!r}",
                max(
                    entry_resumption.RETRY_AFTER_S,
                    expires_at - anyio.current_time(),
                ),
            )
        if service != chosen:
            logs.bind(
                request_id=fields.request_id,
                resumed_request=fields.resumed_request,
                service=service,
                chosen=chosen,
            ).info("stream stays at the service that began it")
        return service

    async def _ask(self, begun_as: str) -> str:
        """Returns what others know of a stream's service, empty if nothing."""
        found = await self._resumption.learn(
            begun_as, lambda: self._history.find_service(begun_as) or None
        )
        return found or ""

    def _is_unchanged(self, host: str, path: str, begun_as: str) -> bool:
        """Whether all recent documents choose the same service."""
        choices = self._history.routes.find_choices(
            host, path, begun_as, anyio.current_time()
        )
        return len(choices) == 1

    def _may_differ(self, host: str, path: str, begun_as: str) -> bool:
        """Whether another service than the chosen one may have begun a stream.

        The documents before the start of the instance are not known.
        """
        if not self._is_unchanged(host, path, begun_as):
            return True
        routes = self._history.routes
        return routes.has_several_services() and not routes.is_complete(
            anyio.current_time()
        )
