"""Tests of the commit that deploy/system.toml names as in production."""

import os
import pathlib
import subprocess

import pytest

import builds

IDENTITY = {
    f"GIT_{role}_{part}": f"{part.lower()}@example"
    for role in ("AUTHOR", "COMMITTER")
    for part in ("NAME", "EMAIL")
}
START_S = 1_800_000_000


class Repository:
    """A repository whose commits have given times."""

    def __init__(self, root: pathlib.Path) -> None:
        """Creates an empty repository."""
        self.root = root
        (root / "deploy").mkdir()
        self._run("init", "-q")

    def _run(self, *arguments: str, at_s: int = START_S) -> str:
        date = f"{at_s} +0000"
        done = subprocess.run(
            ["git", *arguments],
            cwd=self.root,
            env={
                **os.environ,
                **IDENTITY,
                "GIT_AUTHOR_DATE": date,
                "GIT_COMMITTER_DATE": date,
                "GIT_CONFIG_GLOBAL": os.devnull,
            },
            capture_output=True,
            check=True,
        )
        return done.stdout.decode().strip()

    def commit(self, after_h: float) -> str:
        """Adds a commit some hours after the start; returns its name."""
        at_s = START_S + round(after_h * 3600)
        self._run("commit", "-q", "--allow-empty", "-m", "x", at_s=at_s)
        return self._run("rev-parse", "HEAD")

    def find_fault(self, production: str) -> str:
        """Returns what is wrong with a commit in production."""
        path = self.root / builds.DEPLOYMENT
        path.write_text(f'production = "{production}"\n')
        return builds.find_production_fault(self.root)

    def leave(self) -> None:
        """Begins a history of its own."""
        self._run("checkout", "-q", "--orphan", "other")


@pytest.fixture
def repository(tmp_path: pathlib.Path) -> Repository:
    """Returns an empty repository."""
    return Repository(tmp_path)


def test_production_is_the_last_landing() -> None:
    """Guards against an upgrade from a build without fixes (TWICE, REFUSED)."""
    assert builds.find_production_fault() == ""


def test_landing_before_this_one_is_accepted(repository: Repository) -> None:
    """Commits of one landing span less than two sittings."""
    landed = repository.commit(0.0)
    for after_h in (5.0, 5.5, 6.4):
        repository.commit(after_h)
    assert repository.find_fault(landed) == ""


def test_landing_before_another_one_is_a_fault(repository: Repository) -> None:
    """Guards against a commit that stays in production, landing by landing."""
    landed = repository.commit(0.0)
    for after_h in (1.0, 2.0, 6.0):
        repository.commit(after_h)
    assert "lacks 3 commits that span 5.0 h" in repository.find_fault(landed)


def test_commit_of_another_history_is_a_fault(repository: Repository) -> None:
    """A commit that is known but does not precede this one is not upgraded."""
    other = repository.commit(0.0)
    repository.leave()
    repository.commit(1.0)
    assert "does not precede HEAD" in repository.find_fault(other)


@pytest.mark.parametrize("name", ["no-commit", "0" * 40])
def test_unknown_commit_is_a_fault(repository: Repository, name: str) -> None:
    """The message names what is wrong in the file."""
    repository.commit(0.0)
    assert repr(name) in repository.find_fault(name)
