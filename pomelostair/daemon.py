"""The daemon `pomelostaird`."""

import argparse
import os
import signal
import sys

import curio
import curio.socket

from pomelostair import compose
from pomelostair import errors
from pomelostair import events
from pomelostair import log
from pomelostair import settings as settings_module

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_START = 3
EXIT_CUT_SHORT = 4
EXIT_SIGNAL_BASE = 128


async def serve(settings: settings_module.Settings) -> int:
    """Runs one daemon until SIGTERM or SIGINT, then stops it gracefully.

    A second signal ends the process at once.

    Args:
        settings: Settings of the daemon.

    Returns:
        The exit code.

    Raises:
        StartError: An address of the settings can't be listened at.
    """
    wakeup, waker = curio.socket.socketpair()
    signal.set_wakeup_fd(waker.fileno())
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _leave_to_wakeup_fd)
    kernel = compose.build(settings)
    running = await curio.spawn(kernel.run)
    obeying = await curio.spawn(_obey_signals, wakeup, kernel, daemon=True)
    drained = await running.join()
    await obeying.cancel()
    return 0 if drained else EXIT_CUT_SHORT


async def _obey_signals(wakeup, kernel) -> None:
    await wakeup.recv(1)
    await kernel.stop()
    number = (await wakeup.recv(1))[0]
    log.emit(events.Events.STOPPED_AT_ONCE, signal=number)
    os._exit(EXIT_SIGNAL_BASE + number)


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
        return curio.run(serve, settings)
    except errors.StartError as error:
        print(error, file=sys.stderr)
        return EXIT_CANNOT_START


if __name__ == "__main__":
    sys.exit(main())
