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


def trained_model(victim, neighbour, factor):
    model = interference.InterferenceModel()
    for _ in range(100):
        model.learn(victim, {neighbour: 0.5}, 1 + factor * 0.5, 0.0)
    return model


def choose(wanted, hosts, model=None):
    model = model or interference.InterferenceModel()
    return placement.WorkerSelector(hosts, model, 0.0).choose(wanted)


def refusals(choice):
    return {s.worker: s.refusal for s in choice.scored}


class TestChoose:
    def test_full_worker_is_refused(self):
        full = host("w1")
        for number in range(4):
            full.add(request(f"a/{number}"))
        choice = choose(request(), [full])
        assert choice.host is None
        assert refusals(choice) == {"w1": placement.Refusal.NO_ROOM}

    def test_fuller_worker_is_preferred(self):
        full = host("w2")
        full.add(request("a/0"))
        assert choose(request(), [host("w1"), full]).host is full

    def test_batch_is_refused_where_it_slows_a_critical_task(self):
        critical_host = host("w1")
        critical_host.add(request("c/0", "fit", CRITICAL))
        model = trained_model("fit", "wear", 2.0)
        choice = choose(request(), [critical_host], model)
        assert refusals(choice)["w1"] is placement.Refusal.CRITICAL_SLOWED
        assert (
            choose(request(kind="recast"), [critical_host], model).host
            is critical_host
        )

    def test_starved_batch_slows_a_critical_task_only_if_allowed(self):
        critical_host = host("w1")
        critical_host.add(request("c/0", "fit", CRITICAL))
        model = trained_model("fit", "wear", 2.0)
        assert (
            choose(request(starved=True), [critical_host], model).host is None
        )
        wanted = request(starved=True, allow_interference=True)
        assert choose(wanted, [critical_host], model).host is critical_host

    def test_kinds_that_slow_each_other_are_kept_apart(self):
        busy_host = host("w1")
        for number in range(3):
            busy_host.add(request(f"v/{number}", "valuation"))
        model = trained_model("valuation", "wear", 3.0)
        choice = choose(request(min_gain=0.7), [busy_host], model)
        assert refusals(choice)["w1"] is placement.Refusal.NO_GAIN
        assert (
            choose(request(starved=True), [busy_host], model).host is busy_host
        )

    def test_surviving_job_is_balanced_over_zones_then_racks(self):
        hosts = [
            host("w1", "r1", "z1"),
            host("w2", "r2", "z1"),
            host("w3", "r3", "z2"),
        ]
        zones = []
        for number in range(3):
            wanted = request(f"s/{number}", survive=True)
            chosen = choose(wanted, hosts).host
            chosen.add(wanted)
            zones.append(chosen.account.zone)
        assert sorted(zones[:2]) == ["z1", "z2"]

    def test_worker_with_the_least_stranded_memory_is_chosen(self):
        low_cores, low_memory = host("w1"), host("w2")
        low_cores.add(request("a/0", size=messages.Size(16, 2_000)))
        low_memory.add(request("a/1", size=messages.Size(2, 32_000)))
        wanted = request(size=messages.Size(2, 24_000))
        assert choose(wanted, [low_cores, low_memory]).host is low_cores


class TestRemove:
    def test_reverts_add(self):
        worker_host = host("w1")
        wanted = request("c/0", "fit", CRITICAL, survive=True)
        worker_host.add(wanted)
        worker_host.remove(wanted)
        assert worker_host.account.free == CAPACITY
        assert not worker_host.critical
        assert worker_host.core_shares() == {}
