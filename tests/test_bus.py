import curio

from pomelostair import bus
from pomelostair import messages
from pomelostair_standins import site
from tests import parts


class TestNngBus:
    def test_many_sends_to_a_peer_that_is_gone_are_all_not_sent(self):
        async def scenario():
            sender = bus.NngBus(
                "a", f"tcp://{site.free_address()}", parts.METRICS
            )
            gone = f"tcp://{site.free_address()}"
            tasks = [
                await curio.spawn(sender.send, gone, messages.Nudge(1))
                for _ in range(20)
            ]
            results = [await task.join() for task in tasks]
            sender.close()
            return results

        results = curio.run(scenario)
        assert all(isinstance(result, bus.NotSent) for result in results)
