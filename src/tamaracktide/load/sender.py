"""Sends calls to the gateways and checks the responses."""

import dataclasses

import anyio
import httpcore
import msgspec

from tamaracktide.load import checks
from tamaracktide.load import mix
from tamaracktide.load import settings as load_settings
from tamaracktide.settings import api_keys

HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """The result of sending a call, after any retries.

    Attributes:
        call: The call.
        verdict: Result of checking the last response.
        code: Result code of a refusal or error.
        first_token_s: Time to first token of a stream, 0 for none.
        total_s: Time to the end of the response.
        request_id: Request id that the gateway assigned.
        retry_after_s: Back-off that a refusal requests, None if it has none.
        retried: Number of earlier attempts that were refused before they ran.
        earlier_ids: Request ids of the earlier attempts.
    """

    call: mix.Call
    verdict: checks.Verdict
    code: int = 0
    first_token_s: float = 0.0
    total_s: float = 0.0
    request_id: str = ""
    retry_after_s: float | None = None
    retried: int = 0
    earlier_ids: tuple[str, ...] = ()

    @property
    def is_retryable(self) -> bool:
        """Whether the call certainly did not run and can be retried."""
        if self.verdict is checks.Verdict.UNREACHABLE:
            return True
        refused = self.verdict is checks.Verdict.REFUSED
        return refused and self.retry_after_s is not None


UNREACHABLE_BACKOFF_S = 0.2


class Sender:
    """Sends calls over persistent connections."""

    def __init__(
        self,
        settings: load_settings.LoadSettings,
        pool: httpcore.AsyncConnectionPool,
    ) -> None:
        """Initializes a sender that uses a connection pool."""
        self._settings = settings
        self._pool = pool

    async def send(self, call: mix.Call, target: str) -> Result:
        """Sends a call; retries on other gateways if it certainly did not run.

        Args:
            call: The call.
            target: The first gateway; retries use the others in turn.
        """
        targets = self._settings.targets
        first_index = targets.index(target)
        started_at = anyio.current_time()
        earlier: list[str] = []
        result = await self._send_once(call, target, started_at)
        for attempt in range(1, self._settings.retries + 1):
            if not result.is_retryable:
                break
            earlier.append(result.request_id)
            await anyio.sleep(result.retry_after_s or UNREACHABLE_BACKOFF_S)
            next_target = targets[(first_index + attempt) % len(targets)]
            result = await self._send_once(call, next_target, started_at)
        return dataclasses.replace(
            result, retried=len(earlier), earlier_ids=tuple(earlier)
        )

    async def _send_once(
        self, call: mix.Call, target: str, started_at: float
    ) -> Result:
        """Sends a call to one gateway and checks the response."""
        try:
            with anyio.fail_after(self._settings.timeout_s * 1.5):
                return await self._send(call, target, started_at)
        except (*HTTP_ERRORS, TimeoutError) as error:
            connected = not isinstance(error, httpcore.ConnectError)
            return Result(
                call=call,
                verdict=(
                    checks.Verdict.BROKEN
                    if connected
                    else checks.Verdict.UNREACHABLE
                ),
                total_s=anyio.current_time() - started_at,
            )

    async def _send(
        self, call: mix.Call, target: str, started_at: float
    ) -> Result:
        first_token_s = 0.0
        chunks: list[bytes] = []
        async with self._pool.stream(
            self._get_method(call),
            f"http://{target}{_make_path(call)}",
            headers=self._make_headers(call),
            content=_make_body(call),
        ) as response:
            async for chunk in response.aiter_stream():
                if not chunks:
                    first_token_s = anyio.current_time() - started_at
                chunks.append(chunk)
        body = b"".join(chunks)
        verdict = (
            checks.check_model_response(call, response.status, body)
            if isinstance(call, mix.ModelCall)
            else checks.check_service_response(call, response.status, body)
        )
        streamed = isinstance(call, mix.ModelCall) and call.stream
        return Result(
            call=call,
            verdict=verdict,
            code=checks.parse_error_code(body),
            retry_after_s=checks.parse_retry_after(body),
            first_token_s=first_token_s if streamed else 0.0,
            total_s=anyio.current_time() - started_at,
            request_id=_get_request_id(response),
        )

    def _get_method(self, call: mix.Call) -> str:
        if isinstance(call, mix.ServiceCall) and not call.key:
            return "PUT"
        return "POST"

    def _make_headers(self, call: mix.Call) -> list[tuple[str, str]]:
        customer = call.route.customer
        api_key = api_keys.make_api_key(customer, self._settings.key_secret)
        headers = [
            ("Authorization", f"Bearer {api_key}"),
            ("Content-Type", "application/json"),
            ("X-Timeout-S", str(self._settings.timeout_s)),
        ]
        if call.key:
            headers.append(("Idempotency-Key", call.key))
        return headers


def _make_path(call: mix.Call) -> str:
    match call:
        case mix.ServiceCall():
            return f"/services/{call.route.name}/record"
        case mix.ModelCall(chat=True):
            return "/v1/chat/completions"
        case mix.ModelCall():
            return "/v1/completions"


def _make_body(call: mix.Call) -> bytes:
    if isinstance(call, mix.ServiceCall):
        return call.body.encode()
    body: dict[str, object] = {
        "model": call.route.name,
        "max_tokens": call.max_tokens,
        "stream": call.stream,
    }
    if call.chat:
        body["messages"] = [{"role": "user", "content": call.prompt}]
    else:
        body["prompt"] = call.prompt
    return msgspec.json.encode(body)


def _get_request_id(response: httpcore.Response) -> str:
    for name, value in response.headers:
        if name.lower() == b"x-request-id":
            return value.decode()
    return ""
