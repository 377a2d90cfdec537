"""The platform as the plug-ins of the pipelines see it."""

from pomelostair import ports
from pomelostair import queues
from pomelostair.platform import advice
from pomelostair.platform import minion
from pomelostair.platform import names


class PlatformPort(ports.Port):
    """The users' platform."""

    @property
    def queues_table(self) -> str:
        """Table of the operator's rows."""
        return "op"

    @property
    def queues_key(self) -> str:
        """Key of the newest configuration."""
        return "op/config"

    def decode_queues(self, document: bytes) -> queues.QueueTable:
        """Decodes a configuration."""
        return names.configuration(document)

    def worker_client(
        self, heartbeat: ports.WorkerHeartbeat
    ) -> ports.WorkerClient:
        """Returns the client of one life of a worker."""
        return minion.MinionClient(heartbeat.address, heartbeat.worker)

    def advisor(self, address: str) -> ports.Advisor:
        """Returns the advisor at an HTTP address."""
        return advice.AdviceClient(address)
