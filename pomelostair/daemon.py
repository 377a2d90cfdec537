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
EXIT_CUT_SHORT = 4
EXIT_SIGNAL_BASE = 128
FILE_CHECK_S = 2.0  # The settings file is looked at this often.


@attrs.frozen
class Reloading:
    """How settings are read again.

    Attributes:
        path: Path of the settings file.
        load: Reads and checks it.
    """

    path: str
    load: Callable[[str], settings_module.Settings]


async def serve(
    settings: settings_module.Settings,
    reloading: Reloading | None = None,
) -> int:
    """Runs one daemon until SIGTERM or SIGINT, then stops it gracefully.

    A second signal ends the process at once. SIGHUP, or a changed file, reads
    the settings again.

    Args:
        settings: Settings of the daemon.
        reloading: How settings are read again, None for never.

    Returns:
        The exit code.

    Raises:
        StartError: An address of the settings can't be listened at.
    """
    wakeup, waker = curio.socket.socketpair()
    signal.set_wakeup_fd(waker.fileno())
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, _leave_to_wakeup_fd)
    kernel = compose.build(settings)
    running = await curio.spawn(kernel.run)
    reloader = _Reloader(kernel, settings, reloading)
    watching = await curio.spawn(reloader.watch, daemon=True)
    obeying = await curio.spawn(
        _obey_signals, wakeup, kernel, reloader, daemon=True
    )
    drained = await running.join()
    await obeying.cancel()
    await watching.cancel()
    return 0 if drained else EXIT_CUT_SHORT


async def _obey_signals(wakeup, kernel, reloader: "_Reloader") -> None:
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
    """Reads settings again and hands those that changed to the plug-ins."""

    def __init__(
        self,
        kernel: kernel_module.Kernel,
        settings: settings_module.Settings,
        reloading: Reloading | None,
    ):
        self._kernel = kernel
        self._settings = settings
        self._reloading = reloading
        self._stamp = self._read_stamp()

    async def watch(self) -> None:
        """Follows changes of the file that no signal tells of."""
        while True:
            await curio.sleep(FILE_CHECK_S)
            stamp = self._read_stamp()
            if stamp != self._stamp:
                await self.reload("file changed")

    async def reload(self, cause: str) -> None:
        """Reads the file; settings that can't be used change nothing."""
        if self._reloading is None:
            log.emit(events.Events.RELOAD_REFUSED, cause=cause, reason="none")
            return
        self._stamp = self._read_stamp()
        try:
            settings = self._reloading.load(self._reloading.path)
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

    def _read_stamp(self) -> tuple[int, int]:
        if self._reloading is None:
            return (0, 0)
        try:
            found = os.stat(self._reloading.path)
        except OSError:
            return (0, 0)
        return (found.st_mtime_ns, found.st_size)


def _leave_to_wakeup_fd(_number: int, _frame: object) -> None:
    """Does nothing; the signal's number arrives at the wake-up socket."""


def main(arguments: list[str] | None = None) -> int:
    """Runs the program.

    Args:
        arguments: Command line without the program's name.

    Returns:
        The exit code: 0 after a graceful stop, 1 after a crash, 2 for settings
        that can't be used, 3 for addresses that can't be listened at, 4 when
        the stop was cut short by its time limit. A process that a second
        signal ended exits with 128 and the number of the signal.
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
        reloading = Reloading(options.settings, settings_module.load)
        return curio.run(serve, settings, reloading)
    except errors.StartError as error:
        print(error, file=sys.stderr)
        return EXIT_CANNOT_START


if __name__ == "__main__":
    sys.exit(main())
