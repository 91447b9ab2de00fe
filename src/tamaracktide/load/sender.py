"""Sends calls to the gateways and judges the answers."""

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
    """The answer to one sending of a call.

    Attributes:
        call: The call.
        verdict: What the answer is.
        code: Result code of a refusal or error.
        first_token_s: Time to the first token of a stream, 0 for none.
        total_s: Time to the end.
        request_id: The gateway's id of the request.
        retry_after_s: When a refused caller may come back, None if not told.
        retried: Sendings before this one that were refused unrun.
        earlier_ids: The gateways' ids of those.
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
    def may_retry(self) -> bool:
        """Whether the call certainly did not run and may be sent again."""
        if self.verdict is checks.Verdict.UNREACHABLE:
            return True
        refused = self.verdict is checks.Verdict.REFUSED
        return refused and self.retry_after_s is not None


UNREACHABLE_WAIT_S = 0.2


class Sender:
    """Sends calls over kept connections."""

    def __init__(
        self,
        settings: load_settings.LoadSettings,
        pool: httpcore.AsyncConnectionPool,
    ) -> None:
        """Builds a sender that uses a pool of connections."""
        self._settings = settings
        self._pool = pool

    async def send(self, call: mix.Call, target: str) -> Result:
        """Sends a call, again elsewhere while it is refused unrun.

        Args:
            call: The call.
            target: The first gateway; the others follow in turn.
        """
        targets = self._settings.targets
        first = targets.index(target)
        started_at = anyio.current_time()
        earlier: list[str] = []
        result = await self._send_once(call, target, started_at)
        for number in range(1, self._settings.retries + 1):
            if not result.may_retry:
                break
            earlier.append(result.request_id)
            await anyio.sleep(result.retry_after_s or UNREACHABLE_WAIT_S)
            other = targets[(first + number) % len(targets)]
            result = await self._send_once(call, other, started_at)
        return dataclasses.replace(
            result, retried=len(earlier), earlier_ids=tuple(earlier)
        )

    async def _send_once(
        self, call: mix.Call, target: str, started_at: float
    ) -> Result:
        """Sends a call to one gateway and judges the answer."""
        try:
            with anyio.fail_after(self._settings.timeout_s * 1.5):
                return await self._send(call, target, started_at)
        except (*HTTP_ERRORS, TimeoutError) as error:
            reached = not isinstance(error, httpcore.ConnectError)
            return Result(
                call=call,
                verdict=(
                    checks.Verdict.BROKEN
                    if reached
                    else checks.Verdict.UNREACHABLE
                ),
                total_s=anyio.current_time() - started_at,
            )

    async def _send(
        self, call: mix.Call, target: str, started_at: float
    ) -> Result:
        first_token_s = 0.0
        parts: list[bytes] = []
        async with self._pool.stream(
            self._find_method(call),
            f"http://{target}{_make_path(call)}",
            headers=self._make_headers(call),
            content=_make_body(call),
        ) as response:
            async for part in response.aiter_stream():
                if not parts:
                    first_token_s = anyio.current_time() - started_at
                parts.append(part)
        body = b"".join(parts)
        verdict = (
            checks.check_model_answer(call, response.status, body)
            if isinstance(call, mix.ModelCall)
            else checks.check_service_answer(call, response.status, body)
        )
        streamed = isinstance(call, mix.ModelCall) and call.stream
        return Result(
            call=call,
            verdict=verdict,
            code=checks.read_error_code(body),
            retry_after_s=checks.read_retry_after(body),
            first_token_s=first_token_s if streamed else 0.0,
            total_s=anyio.current_time() - started_at,
            request_id=_find_request_id(response),
        )

    def _find_method(self, call: mix.Call) -> str:
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


def _find_request_id(response: httpcore.Response) -> str:
    for name, value in response.headers:
        if name.lower() == b"x-request-id":
            return value.decode()
    return ""
