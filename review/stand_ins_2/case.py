"""Runs the play of one case within its time, and ends its process with the exit code."""

import asyncio
import os
import sys
import tempfile
import traceback
from pathlib import Path

from . import fleet

# Whether the disruption takes place.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 100
CANNOT_RUN = 2
# How much of a node's log is shown if the case could not run.
SHOWN_CHARACTERS = 4000


async def _run(play, folder, scratch):
    log = fleet.Record(Path(folder) / "record.txt")
    log(f"TROUBLE={int(TROUBLE)}")
    # Connections that are open as the stand-ins stop end without a message.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    try:
        code = await asyncio.wait_for(play(scratch, log), LIMIT_S)
    except Exception:
        traceback.print_exc()
        code = 2
    log(f"exit code {code}")
    return code


def main(play, file):
    """Run `play`, a coroutine function of a scratch folder and a log, for the case of a file."""
    with tempfile.TemporaryDirectory() as scratch:
        code = asyncio.run(_run(play, Path(file).resolve().parent, scratch))
        if code == CANNOT_RUN:
            for path in Path(scratch).glob("*.log"):
                print(path.read_text()[-SHOWN_CHARACTERS:])
    sys.exit(code)
