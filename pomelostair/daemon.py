"""The daemon `pomelostaird`."""

import argparse
from collections.abc import Callable
import os
import signal
import sys

import attrs
import curio
import curio.socket

from pomelostair import compose
from pomelostair import errors
from pomelostair import events
from pomelostair import kernel as kernel_module
from pomelostair import log
from pomelostair import settings as settings_module

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_START = 3
EXIT_STOP_TIMED_OUT = 4
EXIT_SIGNAL_BASE = 128
FILE_CHECK_INTERVAL_S = 2.0  # Interval of checks for a changed settings file.


@attrs.frozen
class SettingsSource:
    """Source from which settings are reloaded.

    Attributes:
        path: Path of the settings file.
        load: Reads and validates the file.
    """

    path: str
    load: Callable[[str], settings_module.Settings]


async def serve(
    settings: settings_module.Settings,
    source: SettingsSource | None = None,
) -> int:
    """Runs one daemon until SIGTERM or SIGINT, then stops it gracefully.

    A second signal terminates the process immediately. SIGHUP or a change of
    the settings file reloads the settings.

    Args:
        settings: Settings of the daemon.
        source: Source from which settings are reloaded, None to disable
            reloading.

    Returns:
        The exit code.

    Raises:
        StartError: The process can't listen at an address of the settings.
    """
    wakeup, waker = curio.socket.socketpair()
    signal.set_wakeup_fd(waker.fileno())
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, _leave_to_wakeup_fd)
    kernel = compose.build(settings)
    kernel_task = await curio.spawn(kernel.run)
    reloader = _Reloader(kernel, settings, source)
    watch_task = await curio.spawn(reloader.watch, daemon=True)
    signal_task = await curio.spawn(
        _handle_signals, wakeup, kernel, reloader, daemon=True
    )
    drained = await kernel_task.join()
    await signal_task.cancel()
    await watch_task.cancel()
    return 0 if drained else EXIT_STOP_TIMED_OUT


async def _handle_signals(wakeup, kernel, reloader: "_Reloader") -> None:
    stopping = False
    while True:
        number = (await wakeup.recv(1))[0]
        if number == signal.SIGHUP:
            await reloader.reload("SIGHUP")
        elif stopping:
            log.emit(events.Events.STOPPED_AT_ONCE, signal=number)
            os._exit(EXIT_SIGNAL_BASE + number)
        else:
            stopping = True
            await kernel.stop()


class _Reloader:
    """Reloads the settings and passes them on to the plug-ins."""

    def __init__(
        self,
        kernel: kernel_module.Kernel,
        settings: settings_module.Settings,
        source: SettingsSource | None,
    ):
        self._kernel = kernel
        self._settings = settings
        self._source = source
        self._file_version = self._read_file_version()

    async def watch(self) -> None:
        """Reloads the settings when the file changes without a SIGHUP."""
        while True:
            await curio.sleep(FILE_CHECK_INTERVAL_S)
            file_version = self._read_file_version()
            if file_version != self._file_version:
                await self.reload("file changed")

    async def reload(self, cause: str) -> None:
        """Reloads the file; keeps the current settings if it is invalid."""
        if self._source is None:
            log.emit(events.Events.RELOAD_REFUSED, cause=cause, reason="none")
            return
        self._file_version = self._read_file_version()
        try:
            settings = self._source.load(self._source.path)
        except errors.SettingsError as error:
            log.emit(
                events.Events.RELOAD_REFUSED, cause=cause, reason=str(error)
            )
            return
        changed = [
            field.name
            for field in attrs.fields(settings_module.Settings)
            if getattr(settings, field.name)
            != getattr(self._settings, field.name)
        ]
        self._settings = settings
        log.emit(events.Events.RELOADED, cause=cause, changed=changed)
        await self._kernel.reload(settings)

    def _read_file_version(self) -> tuple[int, int]:
        if self._source is None:
            return (0, 0)
        try:
            status = os.stat(self._source.path)
        except OSError:
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)


def _leave_to_wakeup_fd(_number: int, _frame: object) -> None:
    """Does nothing; the signal number is read from the wake-up socket."""


def main(arguments: list[str] | None = None) -> int:
    """Runs the program.

    Args:
        arguments: Command line without the program's name.

    Returns:
        The exit code: 0 after a graceful stop, 1 after a crash, 2 for invalid
        settings, 3 if the process can't listen at an address, 4 if the
        graceful stop exceeded its time limit. A process that is terminated by
        a second signal exits with 128 plus the number of the signal.
    """
    parser = argparse.ArgumentParser(prog="pomelostaird", description=__doc__)
    parser.add_argument("--settings", required=True, help="JSON settings file")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    options = parser.parse_args(arguments)
    try:
        settings = settings_module.load(options.settings)
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if options.check:
        print(f"{options.settings}: settings are usable")
        return 0
    log.configure(settings.name, settings.log_level)
    try:
        source = SettingsSource(options.settings, settings_module.load)
        return curio.run(serve, settings, source)
    except errors.StartError as error:
        print(error, file=sys.stderr)
        return EXIT_CANNOT_START


if __name__ == "__main__":
    sys.exit(main())
