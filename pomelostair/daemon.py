"""The daemon `pomelostaird`."""

import argparse
import signal
import sys

import curio
import curio.socket

from pomelostair import compose
from pomelostair import errors
from pomelostair import log
from pomelostair import settings as settings_module

EXIT_BAD_SETTINGS = 2


async def serve(settings: settings_module.Settings) -> None:
    """Runs one daemon until SIGTERM or SIGINT, then stops it gracefully."""
    wakeup, waker = curio.socket.socketpair()
    signal.set_wakeup_fd(waker.fileno())
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _leave_to_wakeup_fd)
    kernel = compose.build(settings)
    running = await curio.spawn(kernel.run)
    await wakeup.recv(1)
    await kernel.stop()
    await running.join()


def _leave_to_wakeup_fd(_number: int, _frame: object) -> None:
    """Does nothing; the signal's number arrives at the wake-up socket."""


def main(arguments: list[str] | None = None) -> int:
    """Runs the program.

    Args:
        arguments: Command line without the program's name.

    Returns:
        The exit code: 0, or 2 for settings that can't be used.
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
    curio.run(serve, settings)
    return 0


if __name__ == "__main__":
    sys.exit(main())
