"""Recent scheduling decisions about tasks, retained for operators.

The memory that they use is bounded.
"""

import collections

MAX_TASKS = 4000
MAX_ROWS_PER_TASK = 8


class Decisions:
    """Latest decisions about the tasks that were last decided on."""

    def __init__(self):
        self._rows: collections.OrderedDict[str, collections.deque[str]] = (
            collections.OrderedDict()
        )

    def record(self, task: str, now_s: float, text: str) -> None:
        """Records a decision; a repeated one only marks its task as recent.

        Args:
            task: Id of the task.
            now_s: Monotonic seconds.
            text: The decision and its reason.
        """
        rows = self._rows.setdefault(
            task, collections.deque(maxlen=MAX_ROWS_PER_TASK)
        )
        self._rows.move_to_end(task)
        if not rows or rows[-1].partition(": ")[2] != text:
            rows.append(f"{now_s:.3f} s: {text}")
        if len(self._rows) > MAX_TASKS:
            self._rows.popitem(last=False)

    def rows(self, task: str) -> tuple[str, ...]:
        """Returns the retained decisions about a task, oldest first."""
        return tuple(self._rows.get(task, ()))
