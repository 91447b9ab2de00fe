"""Tests of `tamaracktidectl` commands against the stand-in platform."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
import pathlib

import anyio
import pytest

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.ctl import editing
from tamaracktide.ctl import exits
from tamaracktide.ctl import main
from tamaracktide.ctl import operating
from tamaracktide.ctl import output
from tamaracktide.ctl import session as ctl_session
from tamaracktide.ctl import settings as ctl_settings
from tamaracktide.object_api import instances
from tamaracktide.object_api import settings as client_settings
from tamaracktide.settings import api_keys
from tamaracktide.standins.platform import app as platform_app
from tamaracktide.standins.platform import directory
from tamaracktide.standins.platform import settings as platform_settings
from tamaracktide.standins.service import server
from tamaracktide.standins.service import web

PRINTER = output.Printer("json")
POOL = {"name": "p", "kind": "engine", "upstreams": ["e1", "e2"]}
ROUTE = {
    "name": "r",
    "customer": "c",
    "pool": "p",
    "adapter": "a",
    "version": "1",
}


@pytest.fixture
def anyio_backend() -> str:
    """Runs the tests on asyncio."""
    return "asyncio"


@contextlib.asynccontextmanager
async def open_session() -> AsyncIterator[ctl_session.Session]:
    """Opens a session with a platform that lists an unreachable gateway."""
    settings = platform_settings.PlatformSettings(
        address="127.0.0.1:1",
        instances={
            "g1": directory.InstanceEntry(
                role="gateway", zone="z", address="127.0.0.1:1"
            )
        },
    )
    app = platform_app.Platform(settings, anyio.current_time())
    async with server.run_embedded(web.make_app(app.handle)) as address:
        session_settings = ctl_settings.CtlSettings(
            platform=client_settings.PlatformSettings(address=address)
        )
        async with ctl_session.open_session(session_settings) as session:
            yield session


def write_file(path: pathlib.Path, **tables: object) -> str:
    """Writes a table file and returns its path."""
    file = path / "tables.json"
    file.write_text(json.dumps(tables), encoding="utf-8")
    return str(file)


def read_output(capsys: pytest.CaptureFixture[str]) -> object:
    """Returns the decoded JSON output of a command."""
    return json.loads(capsys.readouterr().out)


@pytest.mark.anyio
async def test_apply_edit_history_and_revert(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """A file is applied, rows are edited, and one edit is reverted."""
    file = write_file(tmp_path, pools=[POOL], routes=[ROUTE])
    async with open_session() as session:
        await editing.apply_file(session, PRINTER, file, prune=False)
        assert read_output(capsys) == {"revision": 1, "changes": 2}
        await editing.edit_row(
            session,
            PRINTER,
            "routes",
            "r",
            {"version": "2", "idempotent": "False", "weight": "2.5"},
        )
        await editing.edit_row(
            session, PRINTER, "pools", "p", {"upstreams": "e2,e3"}
        )
        capsys.readouterr()
        await editing.show_rows(session, PRINTER, "routes", "r", "")
        changed = {"version": "2", "idempotent": False, "weight": 2.5}
        assert read_output(capsys) == [{**ROUTE, **changed}]
        await editing.show_history(session, PRINTER, 2)
        (change,) = json.loads(capsys.readouterr().out)
        assert (change["row"], change["after"]) == ("r", changed)
        await editing.revert_edit(session, PRINTER, 2)
        capsys.readouterr()
        await editing.show_rows(session, PRINTER, "routes", "", "c")
        (row,) = json.loads(capsys.readouterr().out)
        assert row["version"] == "1"
        await editing.show_rows(session, PRINTER, "pools", "", "")
        (row,) = json.loads(capsys.readouterr().out)
        assert row["upstreams"] == ["e2", "e3"]


@pytest.mark.anyio
async def test_prune_deletes_rows_missing_in_the_file(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Pruning deletes a row; a second apply of the file changes nothing."""
    other_route = {**ROUTE, "name": "other"}
    file = write_file(tmp_path, pools=[POOL], routes=[ROUTE, other_route])
    async with open_session() as session:
        await editing.apply_file(session, PRINTER, file, prune=False)
        file = write_file(tmp_path, pools=[POOL], routes=[other_route])
        capsys.readouterr()
        await editing.diff_file(session, PRINTER, file, prune=True)
        (change,) = json.loads(capsys.readouterr().out)
        assert (change["change"], change["row"]) == ("delete", "r")
        for expected in (
            {"revision": 2, "changes": 1},
            {"revision": 2, "changes": 0},
        ):
            await editing.apply_file(session, PRINTER, file, prune=True)
            assert read_output(capsys) == expected


@pytest.mark.anyio
async def test_invalid_edits_change_nothing(tmp_path: pathlib.Path) -> None:
    """Invalid rows, columns, names and tables are reported by code."""
    file = write_file(tmp_path, routes=[ROUTE, {"name": "x y"}])
    async with open_session() as session:
        with pytest.raises(errors.EditError, match='"x y" column customer'):
            await editing.apply_file(session, PRINTER, file, prune=False)
        with pytest.raises(errors.EditError, match="4001"):
            await editing.edit_row(
                session, PRINTER, "routes", "r", {"colour": "blue"}
            )
        with pytest.raises(errors.EditError, match="4004"):
            await editing.delete_row(session, PRINTER, "routes", "r")
        with pytest.raises(errors.EditError, match="4004"):
            await editing.revert_edit(session, PRINTER, 1)
        with pytest.raises(errors.EditError, match="2000"):
            await editing.edit_row(session, PRINTER, "rules", "r", {})
        assert (await session.editor.read_tables()).revision == 0


@pytest.mark.anyio
async def test_drain_undrain_and_wait(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Status shows a drain; waiting for an unreachable gateway times out."""
    async with open_session() as session:
        await operating.drain_instance(session, PRINTER, "g1")
        capsys.readouterr()
        await operating.show_status(session, PRINTER)
        status = json.loads(capsys.readouterr().out)
        assert status["instances"][0]["state"] == "drained"
        assert status["instances"][0]["fault"]
        await operating.undrain_instance(session, PRINTER, "g1")
        for command in (
            operating.undrain_instance(session, PRINTER, "g1"),
            operating.drain_instance(session, PRINTER, "g2"),
            operating.explain_request(session, PRINTER, "req"),
        ):
            with pytest.raises(errors.EditError, match="4004"):
                await command
        with pytest.raises(errors.EditError, match=r"4005.*g1"):
            await operating.wait_until_in_force(session, PRINTER, 1, 0.3)


@pytest.mark.anyio
async def test_status_queries_the_settings_instances_in_an_outage(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """While the platform is unavailable, the settings list the instances."""
    scheduler = instances.Instance(
        id="s1", role="scheduler", zone="z", address="127.0.0.1:1"
    )
    unreachable = client_settings.PlatformSettings(address="127.0.0.1:1")
    session_settings = ctl_settings.CtlSettings(
        platform=unreachable, instances=(scheduler,)
    )
    async with ctl_session.open_session(session_settings) as session:
        await operating.show_status(session, PRINTER)
        printed = capsys.readouterr()
        assert "querying the instances of the settings" in printed.err
        (row,) = json.loads(printed.out)["instances"]
        assert (row["instance"], row["state"]) == ("s1", "live")
    no_instances = dataclasses.replace(session_settings, instances=())
    async with ctl_session.open_session(no_instances) as session:
        with pytest.raises(errors.PlatformUnavailableError):
            await operating.show_status(session, PRINTER)


@pytest.mark.anyio
async def test_status_lists_cells_and_upstreams_with_their_owners(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """The owner of an upstream defaults to the owner of its cell."""
    upstreams = [
        {"upstream": "e1", "epoch": 3, "owner": ""},
        {"upstream": "e2", "epoch": 0, "owner": "s2"},
    ]
    status = {
        "revision": 7,
        "cells": [{"pool": "p", "zone": "z", "upstreams": upstreams}],
    }

    async def respond(_request: web.Request) -> web.Response:
        return web.make_json_response(200, status)

    async with server.run_embedded(web.make_app(respond)) as address:
        scheduler = instances.Instance(
            id="s1", role="scheduler", zone="z", address=address
        )
        unreachable = client_settings.PlatformSettings(address="127.0.0.1:1")
        session_settings = ctl_settings.CtlSettings(
            platform=unreachable, instances=(scheduler,)
        )
        async with ctl_session.open_session(session_settings) as session:
            await operating.show_status(session, PRINTER)
    shown = json.loads(capsys.readouterr().out)
    assert shown["instances"][0]["revision"] == 7
    assert shown["cells"][0]["owner"] == "s1"
    assert [row["owner"] for row in shown["upstreams"]] == ["s1", "s2"]


def test_long_detail_lists_are_truncated() -> None:
    """Omitted details are counted; the next step stays the last line."""
    error = errors.EditError(
        result_codes.ResultCode.TABLE_INVALID,
        "; ".join(f"fault {number}" for number in range(30)),
    )
    lines = exits.describe_error(error).splitlines()
    assert lines[-2] == "  and 10 more"
    assert lines[-1].startswith("next: ")
    assert len(lines) == 23


def test_exit_statuses_are_distinct() -> None:
    """Each kind of failure has its own status, and a next step."""
    kinds = [
        result_codes.ResultCode.TABLE_INVALID,
        result_codes.ResultCode.EDIT_CONFLICT,
        result_codes.ResultCode.EDIT_UNSURE,
        result_codes.ResultCode.SETTINGS_INVALID,
        result_codes.ResultCode.PLATFORM_UNAVAILABLE,
        result_codes.ResultCode.ROW_UNKNOWN,
        result_codes.ResultCode.NOT_IN_FORCE,
    ]
    failures = [errors.TamaracktideError(kind, "one; two") for kind in kinds]
    assert [exits.find_exit_status(e) for e in failures] == list(range(3, 10))
    for error in failures:
        lines = exits.describe_error(error).splitlines()
        assert lines[1:3] == ["  one", "  two"]
        assert lines[3].startswith("next: ")


def test_exit_status_identifies_the_failure(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Missing settings and an unreachable platform differ in status."""
    path = tmp_path / "ctl.json"
    secret = tmp_path / "secret"
    secret.write_text("s3\n", encoding="utf-8")
    with pytest.raises(SystemExit) as missing:
        main.Commands(settings=str(path)).get()
    assert missing.value.code == 6
    settings = {
        "platform": {"address": "127.0.0.1:1"},
        "editor": {"deadline_s": 0.01},
        "secret_path": str(secret),
    }
    path.write_text(json.dumps(settings), encoding="utf-8")
    with pytest.raises(SystemExit) as unavailable:
        main.Commands(settings=str(path)).get()
    assert unavailable.value.code == 7
    assert "4003 PLATFORM_UNAVAILABLE" in capsys.readouterr().err
    main.Commands(settings=str(path)).key("mill")
    key = api_keys.make_api_key("mill", "s3")
    assert capsys.readouterr().out.strip() == key
