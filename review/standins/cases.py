"""Runs one case: plays it, judges the record and reports the outcome."""

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.record import Record
from standins.site import Site, open_site

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2

Play = Callable[[Site, bool], Awaitable[None]]
Judge = Callable[[Record], list[str]]


def run_case(folder: Path, play: Play, judge: Judge) -> int:
    """Run a case and write its record; return the exit status."""
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    return asyncio.run(_run(folder, play, judge, has_trouble=has_trouble))


async def _run(
    folder: Path, play: Play, judge: Judge, *, has_trouble: bool
) -> int:
    record = Record(folder / 'record.txt')
    try:
        async with open_site(record) as site:
            await play(site, has_trouble)
        broken = judge(record)
    except Exception as error:  # Any error of the case itself.
        record.write(f'could not run: {error!r}')
        traceback.print_exc()
        return COULD_NOT_RUN
    served = sum(
        fields['outcome'] == 'served' for _, fields in record.select('answered')
    )
    summary = [
        f'{len(record.select("sent"))} sent, {served} served',
        *(broken or ['the rules held']),
    ]
    record.write(*summary)
    sys.stdout.write('\n'.join(summary) + '\n')
    return BROKEN if broken else HELD
