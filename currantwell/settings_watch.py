"""Service that applies a settings file again when it has changed."""

import os
from collections.abc import Callable
from pathlib import Path

import trio

from . import events
from .errors import SettingsInvalid
from .kernel import ServiceName

__all__ = ["SettingsWatch"]

CHECK_INTERVAL_S = 2.0


class SettingsWatch:
    """Applies the settings again when told to, and when their file has changed.

    Settings that can't be read leave those in force as they are.

    Parameters
    ----------
    host : str
        Name of the host in the log.
    path : Path
        The settings file.
    apply : callable
        Reads the settings and applies what can change while the host runs; raises
        SettingsInvalid if they can't be read.
    """

    name = ServiceName("settings-watch")

    def __init__(self, host: str, path: Path, apply: Callable[[], None]) -> None:
        self._host = host
        self._path = path
        self._apply = apply
        self._applied = self._file_version()

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Check the file for changes until cancelled."""
        task_status.started()
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            if self._file_version() != self._applied:
                self.reload()

    async def drain(self) -> None:
        """No-op: this service has no work to finish."""

    def reload(self) -> None:
        """Apply the settings in the file."""
        self._applied = self._file_version()
        try:
            self._apply()
        except SettingsInvalid as error:
            events.SETTINGS_REFUSED.log(host=self._host, problems=error.problems)
        else:
            events.SETTINGS_RELOADED.log(host=self._host)

    def _file_version(self) -> tuple[int, int, int] | None:
        try:
            status = os.stat(self._path)
        except OSError:
            return None
        return status.st_ino, status.st_size, status.st_mtime_ns
