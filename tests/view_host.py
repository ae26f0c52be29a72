"""A host process whose views are agreed through files in one folder.

Replaces the agreement between hosts: a view is agreed once its file is linked, which
succeeds only once for a given name.
"""

import contextlib
import os
import sys
from pathlib import Path

import msgspec
import trio

from currantwell.host import run_host
from currantwell.ids import Epoch
from currantwell.settings import load_settings
from currantwell.views import View

POLL_S = 0.05


class FileViews:
    def __init__(self, folder, data_centres):
        self._folder = folder
        self._data_centres = frozenset(data_centres)
        self._newest = {}

    def data_centres(self):
        return self._data_centres

    def view(self, data_centre):
        while True:
            newest = self._newest.get(data_centre)
            number = newest.number + 1 if newest else Epoch(1)
            try:
                data = self._path(data_centre, number).read_bytes()
            except FileNotFoundError:
                return newest
            self._newest[data_centre] = msgspec.json.decode(data, type=View)

    def suspects(self):
        return frozenset()

    async def wait_change(self):
        known = dict(self._newest)
        while all(self.view(dc) == known.get(dc) for dc in self._data_centres):
            await trio.sleep(POLL_S)

    async def read_barrier(self):
        """No-op: the files are read at each call."""

    async def propose_view(self, view):
        newest = self.view(view.data_centre)
        if view.number == (newest.number + 1 if newest else 1):
            temporary = self._folder / f"{os.getpid()}.tmp"
            temporary.write_bytes(msgspec.json.encode(view))
            with contextlib.suppress(FileExistsError):
                os.link(temporary, self._path(view.data_centre, view.number))
            temporary.unlink()
        return self.view(view.data_centre) == view

    def _path(self, data_centre, number):
        return self._folder / f"{data_centre}.{number}.json"


if __name__ == "__main__":
    settings = load_settings(Path(sys.argv[1]))
    data_centres = {peer.data_centre for peer in settings.peers.values()}
    views = FileViews(Path(sys.argv[2]), {settings.data_centre, *data_centres})
    sys.exit(0 if trio.run(run_host, settings, views) else 1)
