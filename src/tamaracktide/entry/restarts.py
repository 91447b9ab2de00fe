"""Bounds what an error in a background task ends, and logs its inputs."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import contextvars
import inspect
import types
from typing import Any
from typing import cast
from typing import NoReturn
from typing import TypeVar
from typing import TypeVarTuple

import anyio
import anyio.abc
import msgspec

from tamaracktide.observability import logs

TASK_RESTART_DELAY_S = 0.5
"""Delay before a failed task is restarted."""

MAX_INPUTS_LENGTH = 4000
"""Maximum number of characters of the inputs in a log record."""

_Result = TypeVar("_Result")
_Inputs = TypeVarTuple("_Inputs")


class ContainedTasks(anyio.abc.TaskGroup):
    """Starts tasks of a task group that end alone when they fail.

    Their errors are logged. Without it, an error in any background task ends
    the process and all its requests.
    """

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        """Uses a task group that is entered and exited elsewhere."""
        self.cancel_scope = tasks.cancel_scope
        self._tasks = tasks

    def create_task(
        self,
        coro: Coroutine[Any, Any, _Result],
        *,
        name: object = None,
        context: contextvars.Context | None = None,
    ) -> anyio.TaskHandle[_Result]:
        """Starts a task; its result is None if it fails."""
        contained = cast(Coroutine[Any, Any, _Result], _contain(coro))
        return self._tasks.create_task(
            contained, name=name or _find_name(coro), context=context
        )

    async def start(
        self,
        func: Callable[..., Coroutine[Any, Any, Any]],
        *args: object,
        name: object = None,
        return_handle: bool = False,
    ) -> NoReturn:
        """Not supported: the caller waits for the task and needs its error."""
        raise NotImplementedError("start the task in the task group itself")

    async def __aenter__(self) -> anyio.abc.TaskGroup:
        """Does nothing: the task group is entered elsewhere."""
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc_val: BaseException | None,
        exc_tb: types.TracebackType | None,
    ) -> bool:
        """Does nothing: the task group is exited elsewhere."""
        return False


async def run_with_restarts(
    run: Callable[[*_Inputs], Awaitable[None]], *inputs: *_Inputs
) -> None:
    """Restarts a task that fails, so that requests continue to be served."""
    while True:
        try:
            await run(*inputs)
        except Exception as error:
            logs.bind(
                task=run.__qualname__, inputs=describe_inputs(inputs)
            ).opt(exception=True).critical(
                "task failed; restarting: {!r}", error
            )
            await anyio.sleep(TASK_RESTART_DELAY_S)
        else:
            return


def describe_inputs(inputs: object) -> str:
    """Returns inputs as JSON for a log record, without credentials."""
    try:
        plain = msgspec.to_builtins(inputs, enc_hook=_name_type, str_keys=True)
        fields = logs.redact_fields({"inputs": plain})
        text = msgspec.json.encode(fields["inputs"]).decode()
    except Exception as error:
        # The error whose inputs these are must be logged all the same.
        return f"{type(inputs).__qualname__}: {error!r}"
    return text[:MAX_INPUTS_LENGTH]


async def _contain(task: Coroutine[Any, Any, object]) -> object:
    inputs = inspect.getcoroutinelocals(task)
    inputs.pop("self", None)
    try:
        return await task
    except Exception as error:
        logs.bind(task=_find_name(task), inputs=describe_inputs(inputs)).opt(
            exception=True
        ).critical("task failed and ended: {!r}", error)
        return None


def _find_name(task: Coroutine[Any, Any, object]) -> str:
    return getattr(task, "__qualname__", type(task).__qualname__)


def _name_type(value: object) -> str:
    return type(value).__qualname__
