from pomelostair_standins import configsoak


class TestRun:
    def test_no_entry_goes_back_and_all_reach_the_last_version(self, tmp_path):
        """A short run of the soak; what is late depends on the machine.

        The seed holds entries that are killed, frozen and reloaded, cuts, and
        connections to the store that go silent for one and for all entries.
        """
        result = configsoak.Soak(tmp_path, 3, 25.0).run()
        assert [f for f in result.findings if f.kind == "older"] == []
        assert result.reached
        assert result.answers
        assert result.failures == []
        assert set(result.exits) <= {0}
