"""Builds of the repository's history that run beside the current one."""

import pathlib
import subprocess
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPLOYMENT = pathlib.Path("deploy") / "system.toml"
PROGRAM = pathlib.Path("platform") / "run.py"
SOURCES = ("platform", "src")


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
    archive = subprocess.run(
        ["git", "archive", commit, *SOURCES],
        cwd=root,
        capture_output=True,
        check=True,
    )
    subprocess.run(
        ["tar", "-x", "-C", str(folder)], input=archive.stdout, check=True
    )
    return folder
