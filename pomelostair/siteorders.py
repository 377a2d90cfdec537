"""Orders of operators that stand, as a process follows them now."""

import time

from pomelostair import configuration
from pomelostair import declaration
from pomelostair import kernel
from pomelostair import messages
from pomelostair import outcome
from pomelostair import settings as settings_module
from pomelostair import stopplan


@kernel.plugin(settings_module.Role.ENTRY, settings_module.Role.AGENT)
class SiteOrders(kernel.Plugin):
    """Tells the other plug-ins what drains and stops ask of them."""

    requires = (configuration.Configuration,)

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._configuration = host.get(configuration.Configuration)
        self._token = ""
        self._learned_s = 0.0
        self._elapsed_s = 0.0

    @property
    def stop(self) -> declaration.Stop | None:
        """The stop or shed that stands, if any."""
        return self._configuration.in_force.orders.stop

    @property
    def elapsed_s(self) -> float:
        """Seconds since the stop was ordered; never goes back.

        The hosts' wall clocks give the age at which this process learned the
        order; from then on its monotonic clock counts.
        """
        stop = self.stop
        if stop is None:
            return 0.0
        now = self._parts.clock.now()
        if stop.token != self._token:
            self._token = stop.token
            age_s = time.time() - stop.ordered_at
            self._learned_s = now
            self._elapsed_s = min(max(0.0, age_s), stop.within_s)
        return self._elapsed_s + now - self._learned_s

    @property
    def stop_state(self) -> stopplan.StopState:
        """The stop or shed that stands, with its age."""
        return stopplan.StopState(self.stop, self.elapsed_s)

    @property
    def stopping(self) -> bool:
        """Whether the site is to stop."""
        stop = self.stop
        return stop is not None and stop.keep_share == 0

    def target_state(self) -> messages.TargetState:
        """Returns the state that this process's target has by the orders.

        A process that has not learned the accepted orders since its start
        gives its target no work yet.
        """
        name = self._parts.settings.name
        drained = self._configuration.in_force.orders.drain_of(name)
        if drained is not None or not self._configuration.is_synced:
            return messages.TargetState.DRAINING
        return messages.TargetState.READY

    def request_refusal(
        self, service: str, urgency: messages.Urgency
    ) -> outcome.Refused | None:
        """Returns why a new request is refused by a stop, if it is."""
        if not self._configuration.is_synced:
            return outcome.Refused(
                outcome.Kind.NOT_READY,
                "repeat; this entry has just started and learns its orders yet",
            )
        stop = self.stop
        if stop is None:
            return None
        survive = self._survives(service)
        if not stopplan.has_yielded(stop, self.elapsed_s, urgency, survive):
            return None
        return outcome.Refused(
            outcome.Kind.SITE_STOPPING,
            "repeat after the site has resumed; it is stopping",
        )

    def yield_mode(self, order: messages.StartOrder) -> stopplan.YieldMode:
        """Returns how a task that runs here has to yield to a stop."""
        declarations = self._configuration.in_force.declarations
        return stopplan.yield_mode(
            self.stop,
            self.elapsed_s,
            declarations.urgency_of(order.kind, order.urgency),
            order.survive,
        )

    def job_refusal(self) -> outcome.Refused | None:
        """Returns why a new job is refused by a stop, if it is."""
        if not self.stopping:
            return None
        return outcome.Refused(
            outcome.Kind.SITE_STOPPING,
            "submit again after the site has resumed; it is stopping",
        )

    def limit_deadline(self, deadline: float) -> float:
        """Returns a request's deadline, moved before the end of a stop.

        Args:
            deadline: Monotonic seconds of the caller's deadline.
        """
        stop = self.stop
        if stop is None or stop.keep_share > 0:
            return deadline
        remaining_s = stop.within_s - self.elapsed_s
        return min(deadline, self._parts.clock.now() + remaining_s)

    def _survives(self, service: str) -> bool:
        services = self._configuration.in_force.declarations.services
        return any(s.name == service and s.survive for s in services)
