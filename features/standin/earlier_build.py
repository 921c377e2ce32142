"""Trees of earlier commits, written out of the repository's own history."""

import io
import subprocess
import tarfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
# What a node is started from.
PARTS = ("liftrill", "platform")


def extract_tree(commit, directory):
    """Write a commit's tree to a folder and return it, or None where the history lacks it."""
    archived = subprocess.run(
        ["git", "-C", str(ROOT), "archive", commit, *PARTS], capture_output=True, check=False
    )
    if archived.returncode:
        return None
    target = directory / f"build-{commit}"
    target.mkdir()
    with tarfile.open(fileobj=io.BytesIO(archived.stdout)) as archive:
        archive.extractall(target, filter="data")
    return target
