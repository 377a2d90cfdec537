import pytest

from pomelostair_standins import site
from tests import caller

FIT = "/services/clapper-desk/fit"


@pytest.fixture(scope="module")
def linked_site():
    shape = site.Shape(entries=1, minions=1, workers=1, links=True)
    with site.running(shape) as running:
        assert caller.eventually(lambda: status(running) == 200)
        yield running


def status(running):
    headers = {"Pomelostair-Timeout-Ms": "400"}
    return caller.call(running.entries[0], "GET", FIT, headers=headers).status


class TestCut:
    @pytest.mark.parametrize(
        ("source", "target"),
        [
            ("entry-1", "agent-minion-1"),
            ("agent-minion-1", "entry-1"),
            ("agent-minion-1", "minion-1"),
        ],
    )
    def test_cut_link_and_its_end(self, linked_site, source, target):
        linked_site.cut(source, target)
        assert caller.eventually(lambda: status(linked_site) >= 500)
        linked_site.heal()
        assert caller.eventually(lambda: status(linked_site) == 200)

    def test_cut_of_other_links_disturbs_no_request(self, linked_site):
        linked_site.cut("agent-worker-1", "*")
        assert status(linked_site) == 200
        linked_site.heal()

    def test_bad_rules_are_refused(self, linked_site):
        relay = linked_site.describe()["relay"]
        answer = caller.call(relay, "POST", "/rules", b'[{"cut": 3}]')
        assert answer.status == 400
        assert "list of rules" in answer.json()["error"]
