"""Builds of the repository's history that run beside the current one."""

import pathlib
import subprocess
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPLOYMENT = pathlib.Path("deploy") / "system.toml"
PROGRAM = pathlib.Path("platform") / "run.py"
SOURCES = ("platform", "src")
MAX_UNRELEASED_S = 4 * 3600.0
"""Time that the commits since the one in production may span. Those of a
landing span 1.5 h, or twice that if they land on a second try."""


def read_production(root: pathlib.Path = ROOT) -> str:
    """Returns the commit that is in production before an upgrade."""
    settings = tomllib.loads((root / DEPLOYMENT).read_text())
    return str(settings["production"])


def extract(
    commit: str, folder: pathlib.Path, root: pathlib.Path = ROOT
) -> pathlib.Path:
    """Writes the sources of a commit into a folder, and returns the folder.

    Raises:
        subprocess.CalledProcessError: The repository has no such commit.
    """
    folder.mkdir(parents=True, exist_ok=True)
    archive = _run_git(root, "archive", commit, *SOURCES)
    subprocess.run(["tar", "-x", "-C", str(folder)], input=archive, check=True)
    return folder


def find_production_fault(root: pathlib.Path = ROOT) -> str:
    """Returns why the commit in production is wrong, empty if it is not.

    It has to be the last landing: an upgrade begins with it, and with each
    fault that was mended since.
    """
    production = read_production(root)
    try:
        _run_git(root, "merge-base", "--is-ancestor", production, "HEAD")
    except subprocess.CalledProcessError as error:
        reason = error.stderr.decode().strip() or "it does not precede HEAD"
        return f"production {production!r} is not in the history: {reason}"
    log = _run_git(root, "log", "--format=%ct", f"{production}..HEAD")
    times = [int(line) for line in log.split()]
    span_s = max(times, default=0) - min(times, default=0)
    if span_s > MAX_UNRELEASED_S:
        return (
            f"production {production!r} lacks {len(times)} commits that span "
            f"{span_s / 3600:.1f} h: name the last landing"
        )
    return ""


def _run_git(root: pathlib.Path, *arguments: str) -> bytes:
    done = subprocess.run(
        ["git", *arguments], cwd=root, capture_output=True, check=True
    )
    return done.stdout
