from pomelostair import accounting
from pomelostair import interference
from pomelostair import messages
from pomelostair import placement

CAPACITY = messages.Size(32.0, 64_000, 0)
SIZE = messages.Size(8.0, 8_000, 0)
BATCH = messages.Urgency.BATCH
CRITICAL = messages.Urgency.CRITICAL


def host(name, rack="r", zone="z"):
    return placement.Host(accounting.Account(name, zone, rack, CAPACITY))


def request(task="b/0", kind="wear", urgency=BATCH, size=SIZE, **fields):
    job = task.partition("/")[0]
    return placement.Request(task, job, kind, urgency, size, **fields)


def learned(victim, neighbour, factor):
    found = interference.InterferenceModel()
    for _ in range(100):
        found.learn(victim, {neighbour: 0.5}, 1 + factor * 0.5, 0.0)
    return found


def choose(wanted, hosts, found=None):
    found = found or interference.InterferenceModel()
    return placement.WorkerSelector(hosts, found, 0.0).choose(wanted)


def refusals(choice):
    return {s.worker: s.refusal for s in choice.scored}


class TestChoose:
    def test_nothing_goes_beyond_capacity(self):
        full = host("w1")
        for number in range(4):
            full.add(request(f"a/{number}"))
        choice = choose(request(), [full])
        assert choice.host is None
        assert refusals(choice) == {"w1": placement.Refusal.NO_ROOM}

    def test_the_fuller_worker_wins(self):
        full = host("w2")
        full.add(request("a/0"))
        assert choose(request(), [host("w1"), full]).host is full

    def test_batch_keeps_away_from_what_it_disturbs(self):
        desk = host("w1")
        desk.add(request("c/0", "fit", CRITICAL))
        found = learned("fit", "wear", 2.0)
        choice = choose(request(), [desk], found)
        assert refusals(choice)["w1"] is placement.Refusal.CRITICAL_SLOWED
        assert choose(request(kind="recast"), [desk], found).host is desk

    def test_starved_batch_keeps_away_as_long_as_it_can(self):
        desk = host("w1")
        desk.add(request("c/0", "fit", CRITICAL))
        found = learned("fit", "wear", 2.0)
        assert choose(request(starved=True), [desk], found).host is None
        wanted = request(starved=True, allow_interference=True)
        assert choose(wanted, [desk], found).host is desk

    def test_kinds_that_slow_each_other_are_kept_apart(self):
        other = host("w1")
        for number in range(3):
            other.add(request(f"v/{number}", "valuation"))
        found = learned("valuation", "wear", 3.0)
        choice = choose(request(min_gain=0.7), [other], found)
        assert refusals(choice)["w1"] is placement.Refusal.NO_GAIN
        assert choose(request(starved=True), [other], found).host is other

    def test_what_must_survive_is_balanced_over_zones_then_racks(self):
        hosts = [
            host("w1", "r1", "z1"),
            host("w2", "r2", "z1"),
            host("w3", "r3", "z2"),
        ]
        order = []
        for number in range(3):
            wanted = request(f"s/{number}", survive=True)
            found = choose(wanted, hosts).host
            found.add(wanted)
            order.append(found.account.zone)
        assert sorted(order[:2]) == ["z1", "z2"]

    def test_memory_is_not_left_stranded(self):
        lean, rich = host("w1"), host("w2")
        lean.add(request("a/0", size=messages.Size(16, 2_000)))
        rich.add(request("a/1", size=messages.Size(2, 32_000)))
        wanted = request(size=messages.Size(2, 24_000))
        assert choose(wanted, [lean, rich]).host is lean


class TestRemove:
    def test_undoes_add(self):
        found = host("w1")
        wanted = request("c/0", "fit", CRITICAL, survive=True)
        found.add(wanted)
        found.remove(wanted)
        assert found.account.free == CAPACITY
        assert not found.critical
        assert found.core_shares() == {}
