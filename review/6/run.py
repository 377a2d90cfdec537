"""Tasks that are done run again after the leader was killed.

Each worker has more than 500 ends that nobody has taken note of; it lists 500
of them at a time. The new leader starts the tasks of the others again.
"""

import time

import smallsite

ENTRIES = 3
SIDES = 3
COUNT = 2400  # 800 a worker.
WORK_MS = 3000
KILL_AFTER_S = 2.7  # After the first start: shortly before the first end.
DARK_S = 3.4  # The site names 3.5 s.
PIPELINE = "00000000000000aa"
PATH = f"/fit/{PIPELINE}"
STEPS = [{"count": COUNT, "cpu": 30, "memMb": 10, "estimateMs": WORK_MS}]
START_S = 20.0
WATCH_S = 14.0
SHOWN = 10


def case(site: smallsite.SmallSite, record: smallsite.Record) -> bool:
    """Returns whether a task was started after a run of it was done."""

    def events() -> list[dict]:
        return [site.worker(number, "/events") for number in range(SIDES)]

    def counts(name: str) -> list[int]:
        return [len(told[name]) for told in events()]

    def sum_up() -> None:
        noted = [told["lastSeen"] for told in events()]
        record.write(
            f"workers: starts {counts('starts')}, ends {counts('ends')},"
            f" taken note of {noted}"
        )

    for number in range(SIDES):
        site.worker(number, "/behaviour", {"work_ms": WORK_MS})
    status, _ = smallsite.send(
        site, record, 0, "POST", PATH, {"spec": "text", "steps": STEPS}
    )
    if status != 200:
        raise smallsite.NotRunError("not accepted")
    leader = site.leader()
    smallsite.wait_until(site.starts, START_S, "a start")
    first_s = time.monotonic()
    smallsite.wait_until(
        lambda: sum(counts("starts")) >= COUNT, START_S, "all starts"
    )
    sum_up()
    time.sleep(max(0.0, first_s + KILL_AFTER_S - time.monotonic()))
    if smallsite.trouble():
        site.kill(f"edge-{leader}")
        record.write(f"edge-{leader}, which leads, loses power")
    killed_s = time.monotonic()
    is_back = not smallsite.trouble()
    while time.monotonic() < killed_s + WATCH_S:
        time.sleep(0.5)
        sum_up()
        if not is_back and time.monotonic() > killed_s + DARK_S - 0.5:
            is_back = True
            time.sleep(max(0.0, killed_s + DARK_S - time.monotonic()))
            site.start_entry(leader)
            record.write(f"edge-{leader} is started again")
    # An end counts if it is taken note of by now, unless the lease of its
    # worker has lapsed since.
    done_s: dict[str, float] = {}
    for told in events():
        for number, task, _, how, at_s in told["ends"]:
            has_lapsed = any(lapse_s >= at_s for lapse_s in told["lapses"])
            if how == "done" and number <= told["lastSeen"] and not has_lapsed:
                done_s[task] = min(at_s, done_s.get(task, at_s))
    again = [
        (task, run, worker, at_s - done_s[task])
        for worker, told in enumerate(events())
        for task, run, at_s in told["starts"]
        if task in done_s and at_s > done_s[task]
    ]
    lapses = [len(told["lapses"]) for told in events()]
    record.write(f"moments with a lapsed lease, by worker: {lapses}")
    record.write(f"{len(again)} starts after a run of the task was done")
    for task, run, worker, after_s in again[:SHOWN]:
        record.write(
            f"worker {worker} has started {task} run {run}, {after_s:.2f} s"
            " after a run of it was done"
        )
    return bool(again)


if __name__ == "__main__":
    smallsite.run(case, __file__, ENTRIES, SIDES)
