from pomelostair import metrics


class TestMetrics:
    def test_exposition_shows_each_kind(self):
        registry = metrics.Metrics()
        registry.count("requests_refused", reason="no-target")
        registry.count("requests_refused", 2, reason="no-target")
        registry.record("request_seconds", 0.03, service="clapper-desk")
        registry.gauge("open_connections", lambda: 7)
        lines = registry.exposition().decode().splitlines()
        assert (
            'pomelostair_requests_refused_total{reason="no-target"} 3.0'
            in lines
        )
        assert "pomelostair_open_connections 7.0" in lines
        bucket = (
            'pomelostair_request_seconds_bucket{le="0.05",'
            'service="clapper-desk"} 1.0'
        )
        assert bucket in lines

    def test_instances_are_independent(self):
        first, second = metrics.Metrics(), metrics.Metrics()
        first.count("retries", reason="draining")
        assert b"retries" in first.exposition()
        assert b"retries" not in second.exposition()

    def test_labels_of_made_up_texts_are_bounded(self):
        """Guards against a series for each text that a peer sends."""
        registry = metrics.Metrics()
        for number in range(metrics.MAX_SERIES + 50):
            registry.count("starts_refused", reason=f"{number}" + "x" * 500)
            registry.record("call_seconds", 0.1, outcome=str(number))
        text = registry.exposition().decode()
        assert "x" * (metrics.MAX_LABEL_CHARACTERS + 1) not in text
        assert 'starts_refused_total{reason="other"} 50.0' in text
        assert 'call_seconds_count{outcome="other"} 50.0' in text
