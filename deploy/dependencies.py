"""Installs the locked dependencies for this machine's kind of interpreter.

A folder that was built for another processor, another interpreter or another
list of packages, or whose installation did not finish, is built again. Needs
nothing but the standard library.
"""

import argparse
import hashlib
import pathlib
import platform
import shutil
import subprocess
import sys
import sysconfig

STAMP_NAME = ".built-for"
PIP = ("-m", "pip", "install", "--quiet", "--disable-pip-version-check")


def stamp(*lists: pathlib.Path) -> str:
    """Returns what a folder of dependencies depends on.

    Args:
        *lists: Files that name the packages.

    Returns:
        The processor, the interpreter's ABI and the digest of the lists.
    """
    digest = hashlib.sha256()
    for path in lists:
        digest.update(path.read_bytes())
    abi = sysconfig.get_config_var("SOABI") or sys.implementation.cache_tag
    return f"{platform.machine()} {abi} {digest.hexdigest()}\n"


def is_current(folder: pathlib.Path, expected: str) -> bool:
    """Returns whether a folder was completely built for a stamp."""
    try:
        return (folder / STAMP_NAME).read_text() == expected
    except (OSError, UnicodeDecodeError):
        return False


def install_target(folder: pathlib.Path, requirements: pathlib.Path) -> bool:
    """Installs packages into a folder on the module search path.

    Args:
        folder: The folder; replaced as a whole unless it is current.
        requirements: List of the packages with their versions.

    Returns:
        Whether it was built.
    """
    expected = stamp(requirements)
    if is_current(folder, expected):
        return False
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    _run(sys.executable, *PIP, "--target", folder, "-r", requirements)
    (folder / STAMP_NAME).write_text(expected)
    return True


def install_venv(folder: pathlib.Path, root: pathlib.Path) -> bool:
    """Creates the virtual environment for development.

    Args:
        folder: The environment; replaced as a whole unless it is current.
        root: Folder of the project and its `requirements.lock`.

    Returns:
        Whether it was built.
    """
    lock = root / "requirements.lock"
    expected = stamp(lock, root / "pyproject.toml")
    if is_current(folder, expected):
        return False
    shutil.rmtree(folder, ignore_errors=True)
    _run(sys.executable, "-m", "venv", folder)
    python = folder / "bin" / "python"
    _run(python, *PIP, "-r", lock)
    _run(python, *PIP, "--no-deps", "-e", root)
    (folder / STAMP_NAME).write_text(expected)
    return True


def _run(*command: str | pathlib.Path) -> None:
    subprocess.run([str(word) for word in command], check=True)


def main(arguments: list[str] | None = None) -> int:
    """Installs into `target/deps`, or into `.venv` with `--development`."""
    parser = argparse.ArgumentParser(prog="dependencies")
    parser.add_argument("--development", action="store_true")
    options = parser.parse_args(arguments)
    root = pathlib.Path(__file__).resolve().parents[1]
    try:
        if options.development:
            install_venv(root / ".venv", root)
        else:
            install_target(
                root / "target" / "deps", root / "deploy" / "requirements.txt"
            )
    except subprocess.CalledProcessError as error:
        print(
            f"installation failed; see the messages above: {error}",
            file=sys.stderr,
        )
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
