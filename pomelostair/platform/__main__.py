"""The daemon on the users' platform: `python3 -m pomelostair.platform`."""

import argparse
import os
import sys

import curio

from pomelostair import daemon
from pomelostair import errors
from pomelostair import log
from pomelostair.platform import settingsfile

SETTINGS_VARIABLE = "POMELOSTAIR_CONFIG"
DEFAULT_PATH = "/etc/pomelostair/boot.conf"


def main(arguments: list[str] | None = None) -> int:
    """Runs an entry or agent on the users' platform.

    Args:
        arguments: Command line without the program's name.

    Returns:
        The exit code; the codes are those of `daemon.main`.
    """
    parser = argparse.ArgumentParser(prog="pomelostair.platform")
    parser.add_argument("--check", action="store_true", help="check and exit")
    options = parser.parse_args(arguments)
    path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH)
    try:
        settings = settingsfile.load(path)
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        return daemon.EXIT_BAD_SETTINGS
    if options.check:
        print(f"{path}: settings are usable")
        return 0
    log.configure(settings.name, settings.log_level)
    try:
        return curio.run(
            daemon.serve,
            settings,
            daemon.SettingsSource(path, settingsfile.load),
        )
    except errors.StartError as error:
        print(error, file=sys.stderr)
        return daemon.EXIT_CANNOT_START


if __name__ == "__main__":
    sys.exit(main())
