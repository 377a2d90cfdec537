"""Discovery of processes through the load balancer.

Every process sends a join request to the balancer's address at intervals; the
entry that answers returns the entries and leaders that it knows. Agents then
announce their targets to each entry directly. Discovery does not depend on
the platform.
"""

import curio
import msgspec

from pomelostair import codec
from pomelostair import directory as directory_module
from pomelostair import errors
from pomelostair import events
from pomelostair import http
from pomelostair import httpclient
from pomelostair import kernel
from pomelostair import log
from pomelostair import messages
from pomelostair import settings as settings_module

JOIN_TIMEOUT_S = 1.0
JOIN_TARGET = "/v1/join"


@kernel.plugin(settings_module.Role.ENTRY, settings_module.Role.AGENT)
class Membership(kernel.Plugin):
    """Keeps the directory up to date through the balancer."""

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        timing = parts.settings.timing
        self._directory = directory_module.Directory(
            parts.clock, timing.silent_ms / 1000
        )
        self._own_entry: messages.EntryAddress | None = None
        self._balancer = httpclient.Client(parts.settings.balancer, 1)

    @property
    def directory(self) -> directory_module.Directory:
        """The last known entries, targets and leaders."""
        return self._directory

    def set_own_entry(self, entry: messages.EntryAddress) -> None:
        """Makes join requests announce this process as the given entry."""
        self._own_entry = entry

    async def run(self) -> None:
        """Sends join requests until cancelled, each over a new connection.

        The balancer may assign each connection to another entry. The
        intervals are jittered, so that processes started together don't stay
        synchronized with the balancer's rotation and reach the same entry
        each time.
        """
        interval_s = self._parts.settings.timing.join_ms / 1000
        while True:
            joined = await self._join()
            pause_s = interval_s if joined else interval_s / 8
            await curio.sleep(pause_s * self._parts.random.uniform(0.5, 1.0))

    async def _join(self) -> bool:
        body = msgspec.json.encode(messages.JoinRequest(self._own_entry))
        request = http.Request("POST", JOIN_TARGET, (), body)
        try:
            response = await self._balancer.request(request, JOIN_TIMEOUT_S)
            await self._balancer.close()
            reply = codec.decode_json(response.body, messages.JoinReply)
        except (errors.PomelostairError, msgspec.MsgspecError):
            self._parts.metrics.count("joins_failed")
            return False
        self.apply_reply(reply)
        return True

    def apply_reply(self, reply: messages.JoinReply) -> None:
        """Applies the entries and leaders of an entry's reply."""
        known_names = {entry.name for entry in self._directory.entries()}
        for entry in reply.entries:
            self._directory.update_entry(entry)
            if entry.name not in known_names:
                log.emit(events.Events.PEER_JOINED, peer=entry.name)
        for leader in reply.leaders:
            self._directory.update_leader(leader)
