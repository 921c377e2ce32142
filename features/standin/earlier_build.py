"""Source trees of earlier commits, extracted from the repository's history."""

import io
import subprocess
import tarfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
# The folders that a node needs to run.
PARTS = ("liftrill", "platform")


def extract_tree(commit, directory):
    """Extract a commit's tree and return its folder, or None if the history lacks the commit."""
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
