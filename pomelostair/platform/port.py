"""Access to the users' platform for the pipeline plug-ins."""

from pomelostair import ports
from pomelostair import queues
from pomelostair.platform import advice
from pomelostair.platform import decoding
from pomelostair.platform import minion

_EVACUATIONS_PREFIX = "op//evacuate/"


class PlatformPort(ports.Port):
    """The users' platform."""

    @property
    def queues_table(self) -> str:
        """Table that holds the queue configuration."""
        return "op"

    @property
    def queues_key(self) -> str:
        """Key of the row that holds the queue configuration."""
        return "op/config"

    def decode_queues(self, document: bytes) -> queues.QueueTable:
        """Decodes a queue configuration."""
        return decoding.decode_configuration(document)

    @property
    def evacuations_table(self) -> str:
        """Table that holds the operator's evacuations."""
        return "op"

    @property
    def evacuations_prefix(self) -> str:
        """Prefix of the keys: rows `evacuate/ZONE` in the empty partition."""
        return _EVACUATIONS_PREFIX

    def decode_evacuated_zone(self, key: str) -> str:
        """Returns the zone that a row names, empty for none."""
        return key.removeprefix(_EVACUATIONS_PREFIX)

    def worker_client(
        self, heartbeat: ports.WorkerHeartbeat
    ) -> ports.WorkerClient:
        """Returns a client for the incarnation that sent a heartbeat."""
        return minion.MinionClient(heartbeat.address, heartbeat.worker)

    def advisor(self, address: str) -> ports.Advisor:
        """Returns a client for the advisor at an HTTP address."""
        return advice.AdviceClient(address)
