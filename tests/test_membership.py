from pomelostair_standins import site
from tests import caller

FIT_PATH = "/services/clapper-desk/fit"


def serves(entry):
    return caller.call(entry, "GET", FIT_PATH).status == 200


class TestMembership:
    def test_agent_and_entry_join_without_the_platform(self):
        shape = site.Shape(entries=2, minions=1, workers=0)
        with site.running(shape) as running:
            for entry in running.entries:
                assert caller.eventually(lambda entry=entry: serves(entry))
            running.kill("platform")
            for name in ("agent-minion-1", "entry-2"):
                running.kill(name)
                running.restart(name)
            for entry in running.entries:
                assert caller.eventually(lambda entry=entry: serves(entry))
