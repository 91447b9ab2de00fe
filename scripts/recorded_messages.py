"""Records the messages between entry instances as this build encodes them.

`record PATH` writes a message of each kind, with all fields set; `check PATH`
decodes a recording of another build with this one. Tests keep the recordings of
landed builds. To ask an earlier build, run this file with its `src` on
PYTHONPATH.
"""

import dataclasses
import json
import pathlib
import types
import typing
from typing import Any

import fire
import msgspec

from tamaracktide.protocol import codec
from tamaracktide.protocol import entry_messages
from tamaracktide.protocol import messages

_SAMPLES: dict[object, object] = {
    int: 7,
    float: 1.5,
    str: "name",
    bool: True,
    bytes: b"bytes",
}


def make_sample(kind: Any) -> Any:  # noqa: ANN401
    """Returns a value of a type, with all fields of data classes set."""
    if kind in _SAMPLES:
        return _SAMPLES[kind]
    arguments = typing.get_args(kind)
    match typing.get_origin(kind):
        case origin if origin is tuple:
            return (make_sample(arguments[0]),)
        case origin if origin is dict:
            return {make_sample(arguments[0]): make_sample(arguments[1])}
        case types.UnionType | typing.Union:
            return make_sample(arguments[0])
    hints = typing.get_type_hints(kind)
    names = (
        [field.name for field in dataclasses.fields(kind)]
        if dataclasses.is_dataclass(kind)
        else list(kind.__struct_fields__)
    )
    return kind(**{name: make_sample(hints[name]) for name in names})


def list_kinds() -> list[type]:
    """Returns the types of the messages between entry instances."""
    return [
        messages.Hello,
        *(
            kind
            for kind in messages.NUMBERS.values()
            if kind.__module__ == entry_messages.__name__
        ),
    ]


def describe(message: object) -> Any:  # noqa: ANN401
    """Returns the fields of a message as JSON values."""
    return json.loads(msgspec.json.encode(message))


class Commands:
    """Commands of this file."""

    def record(self, path: str) -> None:
        """Writes a recording of this build."""
        recorded = {}
        for kind in list_kinds():
            sample = make_sample(kind)
            recorded[kind.__name__] = {
                "bytes": codec.encode_message(sample).hex(),
                "fields": describe(sample),
            }
        text = json.dumps(recorded, indent=1, sort_keys=True)
        pathlib.Path(path).write_text(text + "\n", encoding="utf-8")

    def check(self, path: str) -> None:
        """Decodes a recording and prints what this build makes of it."""
        recorded = json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
        for name, sample in recorded.items():
            message = codec.decode_message(bytes.fromhex(sample["bytes"]))
            print(name, "skipped" if message is None else "decoded")


if __name__ == "__main__":
    fire.Fire(Commands)
