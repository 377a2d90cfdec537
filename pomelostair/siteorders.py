"""Drain and stop orders of operators, as a process applies them."""

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
    """Tells other plug-ins what the drains and stops in force require."""

    requires = (configuration.Configuration,)

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._configuration = host.get(configuration.Configuration)
        self._token = ""
        self._learned_s = 0.0
        self._elapsed_s = 0.0

    @property
    def stop(self) -> declaration.Stop | None:
        """The stop or shed in force, if any."""
        return self._configuration.in_force.orders.stop

    @property
    def elapsed_s(self) -> float:
        """Seconds since the stop was ordered; never decreases.

        When this process first sees an order, it computes the age from the
        wall clocks of the hosts; from then on it uses its monotonic clock.
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
        """The stop or shed in force, and its age."""
        return stopplan.StopState(self.stop, self.elapsed_s)

    @property
    def stopping(self) -> bool:
        """Whether a stop of the site is in force, not only a shed."""
        stop = self.stop
        return stop is not None and stop.keep_share == 0

    def target_state(self) -> messages.TargetState:
        """Returns the state of this process's target by the orders in force.

        Until a process has read the accepted orders after its start, its
        target counts as draining and so gets no work.
        """
        name = self._parts.settings.name
        drained = self._configuration.in_force.orders.drain_of(name)
        if drained is not None or not self._configuration.is_synced:
            return messages.TargetState.DRAINING
        return messages.TargetState.READY

    def request_refusal(
        self, service: str, urgency: messages.Urgency
    ) -> outcome.Refused | None:
        """Returns the refusal of a new request, None if it is allowed."""
        if not self._configuration.is_synced:
            return outcome.Refused(
                outcome.Kind.NOT_READY,
                "repeat; this entry has just started and has no orders yet",
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
        """Returns how a running task must yield to a stop by now."""
        declarations = self._configuration.in_force.declarations
        return stopplan.yield_mode(
            self.stop,
            self.elapsed_s,
            declarations.urgency_of(order.kind, order.urgency),
            order.survive,
        )

    def job_refusal(self) -> outcome.Refused | None:
        """Returns the refusal of a new job, None if it is allowed."""
        if not self.stopping:
            return None
        return outcome.Refused(
            outcome.Kind.SITE_STOPPING,
            "submit again after the site has resumed; it is stopping",
        )

    def limit_deadline(self, deadline: float) -> float:
        """Returns a request's deadline, at most that of a stop in force.

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
