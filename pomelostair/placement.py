"""Choice of a worker for a task."""

from collections.abc import Iterable

from pomelostair import ledger
from pomelostair import messages


def choose(
    size: messages.Size, accounts: Iterable[ledger.Account]
) -> ledger.Account | None:
    """Returns the account with the least free cores that still fits.

    Args:
        size: Size of the task.
        accounts: The workers that take new tasks.
    """
    fitting = [a for a in accounts if ledger.fits(size, a.free)]
    if not fitting:
        return None
    return min(fitting, key=lambda a: (a.free.cores, a.worker))
