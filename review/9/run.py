"""A submission runs although its cancelling was answered with 410.

The store loses the answers to the writes of the submission and performs them
late. The caller gets no acceptance, cancels, and is told that there is no such
submission.
"""

import time

import smallsite

ENTRIES = 2
SIDES = 3
PIPELINE = "00000000000000dd"
PATH = f"/fit/{PIPELINE}"
STEPS = [{"count": 1, "cpu": 500, "memMb": 256, "estimateMs": 500}]
LATE_S = 5.9  # The users' pages name 1 to 6 s.
LOSS_S = 3.6  # The site names 4.5 s.
PATIENCE_MS = 1500  # Callers wait for 3,000 ms at most.
MAX_SHARE = 0.35  # Of the writes, by the site.
CANCEL_S = 3.0  # bounds.cancel_ms
CONTACT_S = 3.0  # bounds.contactMs
WATCH_S = 12.0
LEAD_S = 2.0


def case(site: smallsite.SmallSite, record: smallsite.Record) -> bool:
    """Returns whether a task started too late after the cancelling."""
    writes = []
    lost = []
    losing = [False]

    def loses(head: bytes, body: bytes) -> float | None:
        if not head.startswith(b"POST /rows-tx"):
            return None
        if losing[0]:
            writes.append(time.monotonic())
            if f"job/{PIPELINE}".encode() in body:
                lost.append(time.monotonic())
                record.write(
                    f"store: a write of {PIPELINE} gets no answer; performed"
                    f" {LATE_S} s later"
                )
                return LATE_S
        return None

    if smallsite.trouble():
        site.proxy.loses = loses
        losing[0] = True
        record.write("store: loses answers from now on")
    begun_s = time.monotonic()
    time.sleep(LEAD_S)
    status, _ = smallsite.send(
        site,
        record,
        0,
        "POST",
        PATH,
        {"spec": "text", "steps": STEPS},
        PATIENCE_MS,
    )
    ended_s = begun_s + LOSS_S
    status, _ = smallsite.send(site, record, 1, "DELETE", PATH)
    acknowledged_s = time.monotonic()
    if status not in (200, 410):
        raise smallsite.NotRunError("the cancelling was not acknowledged")
    time.sleep(max(0.0, ended_s - time.monotonic()))
    losing[0] = False
    if smallsite.trouble():
        record.write(
            "store: loses no answers any more;"
            f" {len(lost)} of {len(writes)} writes were lost"
        )
        if len(lost) > MAX_SHARE * len(writes):
            raise smallsite.NotRunError("more writes lost than the site names")
    calm_s = time.monotonic() + CONTACT_S
    seen = set(site.starts())
    while time.monotonic() < acknowledged_s + WATCH_S:
        now_s = time.monotonic()
        for start in set(site.starts()) - seen:
            after_s = now_s - acknowledged_s
            record.write(
                f"worker {start[2]} has started {start[0]} run {start[1]},"
                f" {after_s:.2f} s after the cancelling was acknowledged"
            )
            smallsite.send(site, record, 0, "GET", PATH)
            return after_s > CANCEL_S + 0.1 and now_s > calm_s
        time.sleep(0.02)
    record.write("no task has started since")
    return False


if __name__ == "__main__":
    smallsite.run(case, __file__, ENTRIES, SIDES)
