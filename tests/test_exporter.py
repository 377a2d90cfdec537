import curio
import pytest

from pomelostair import exporter
from pomelostair import http
from pomelostair import httpclient
from tests import test_kernel

WAIT_S = 20.0


def request_from_exporter(target, method="GET"):
    shared_parts = test_kernel.make_parts(metrics="127.0.0.1:0")
    plugin = exporter.Exporter(shared_parts, None)
    shared_parts.metrics.count("retries", reason="draining")

    async def main():
        task = await curio.spawn(plugin.run, daemon=True)
        client = httpclient.Client(f"127.0.0.1:{plugin.port}", 1)
        try:
            return await client.request(http.Request(method, target), WAIT_S)
        finally:
            await client.close()
            await task.cancel()

    return curio.run(main)


class TestExporter:
    def test_metrics_are_served(self):
        answer = request_from_exporter("/metrics")
        assert answer.status == 200
        assert b'pomelostair_retries_total{reason="draining"} 1.0' in (
            answer.body
        )

    def test_health_check_succeeds(self):
        assert request_from_exporter("/healthz").status == 200

    @pytest.mark.parametrize("target", ["/", "/metricsx", "/v1/jobs"])
    def test_unknown_path_is_refused_with_remedy(self, target):
        answer = request_from_exporter(target)
        assert answer.status == 404
        assert b"use /metrics or /healthz" in answer.body

    def test_no_server_without_metrics_address(self):
        plugin = exporter.Exporter(test_kernel.make_parts(), None)
        assert plugin.port is None
        curio.run(plugin.run)
