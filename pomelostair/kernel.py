"""The kernel: life cycle and supervision of the plug-ins of a daemon.

Plug-ins register themselves for a role when their module is imported. The
composition root (`compose`) imports these modules and passes the shared parts
to the kernel.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import random
import typing

import attrs
import curio

from pomelostair import bus as bus_module
from pomelostair import clock as clock_module
from pomelostair import errors
from pomelostair import events
from pomelostair import log
from pomelostair import memorybudget
from pomelostair import metrics as metrics_module
from pomelostair import ports
from pomelostair import settings as settings_module
from pomelostair import store

RESTART_MIN_S = 0.1
RESTART_MAX_S = 5.0
POST_DRAIN_S = 0.3
DRAIN_TIMEOUT_MARGIN_S = 0.5
RELINQUISH_TIMEOUT_S = 1.0  # Longest `relinquish`; part of the drain time.

_P = typing.TypeVar("_P", bound="Plugin")


@attrs.frozen
class Parts:
    """Settings and services that all plug-ins of a process share."""

    settings: settings_module.Settings
    clock: clock_module.Clock
    bus: bus_module.Bus
    table: store.Table
    objects: store.Objects
    metrics: metrics_module.Metrics
    random: random.Random
    port: ports.Port | None = None
    bounds: memorybudget.Bounds = attrs.field(factory=memorybudget.default)


class Plugin:
    """A component of a daemon that the kernel starts, supervises and drains.

    A class lists the plug-ins that it needs in `requires`; they are created
    before it and drained after it.

    Args:
        parts: Settings and services shared by all plug-ins.
        host: The kernel, which gives access to the required plug-ins.
    """

    requires: typing.ClassVar[tuple[type, ...]] = ()

    def __init__(self, parts: Parts, host: "Kernel"):
        self._parts = parts
        self._host = host

    async def run(self) -> None:
        """Runs until cancelled; after a crash the kernel runs it again."""

    async def relinquish(self, timeout_s: float) -> None:
        """Hands duties to other processes, before any plug-in drains."""

    async def drain(self, timeout_s: float) -> None:
        """Finishes accepted work, taking at most `timeout_s`."""

    async def reload(self, settings: settings_module.Settings) -> None:
        """Applies the settings that can change at run time."""


_registry: dict[settings_module.Role, list[type[Plugin]]] = {
    role: [] for role in settings_module.Role
}


def plugin(*roles: settings_module.Role) -> Callable[[type[_P]], type[_P]]:
    """Registers a plug-in class for the given roles."""

    def register(cls: type[_P]) -> type[_P]:
        for role in roles:
            _registry[role].append(cls)
        return cls

    return register


class Kernel:
    """Runs the plug-ins of one role.

    Args:
        parts: The shared parts.
    """

    def __init__(self, parts: Parts):
        self._parts = parts
        self._plugins: dict[type[Plugin], Plugin] = {}
        self._stop_requested = curio.Event()
        for cls in _in_dependency_order(_registry[parts.settings.role]):
            self._plugins[cls] = cls(parts, self)

    def get(self, cls: type[_P]) -> _P:
        """Returns the plug-in of a class that the caller requires.

        Raises:
            PluginError: No plug-in of the class has been created.
        """
        try:
            return typing.cast(_P, self._plugins[cls])
        except KeyError as error:
            text = f"list {cls.__name__} in the plug-in's `requires`"
            raise errors.PluginError(text) from error

    async def stop(self) -> None:
        """Makes `run` drain the plug-ins and return."""
        await self._stop_requested.set()

    async def reload(self, settings: settings_module.Settings) -> None:
        """Passes changed settings to every plug-in."""
        for instance in self._plugins.values():
            await instance.reload(settings)

    async def run(self) -> bool:
        """Runs all plug-ins until `stop`, then drains them in reverse order.

        After the drain, the bus still answers peers that have not learned of
        the stop yet, for `POST_DRAIN_S`; then it is flushed and closed.

        Returns:
            Whether every plug-in drained in time.
        """
        tasks = [await self._start("bus", self._parts.bus.run)]
        for cls, instance in self._plugins.items():
            tasks.append(await self._start(cls.__name__, instance.run))
        log.emit(events.Events.STARTED, role=self._parts.settings.role.value)
        await self._stop_requested.wait()
        log.emit(events.Events.DRAINING)
        drained = await self._drain()
        await curio.sleep(POST_DRAIN_S)
        for task in reversed(tasks):
            await task.cancel()
        await self._parts.bus.flush()
        self._parts.bus.close()
        log.emit(events.Events.STOPPED, drained=drained)
        return drained

    async def _start(
        self, name: str, work: Callable[[], Awaitable[None]]
    ) -> curio.Task:
        return await curio.spawn(self._supervise, name, work, daemon=True)

    async def _drain(self) -> bool:
        deadline = self._parts.clock.now() + self._parts.settings.timing.drain_s
        drained = True
        for instance in reversed(self._plugins.values()):
            await self._run_with_timeout(
                instance, instance.relinquish, RELINQUISH_TIMEOUT_S
            )
        for instance in reversed(self._plugins.values()):
            remaining_s = max(0.0, deadline - self._parts.clock.now())
            drained &= await self._run_with_timeout(
                instance, instance.drain, remaining_s
            )
        return drained and self._parts.clock.now() < deadline

    async def _run_with_timeout(
        self,
        instance: Plugin,
        work: Callable[[float], Awaitable[None]],
        timeout_s: float,
    ) -> bool:
        name = type(instance).__name__
        try:
            await curio.timeout_after(
                timeout_s + DRAIN_TIMEOUT_MARGIN_S, work, timeout_s
            )
        except curio.TaskTimeout:
            log.emit(events.Events.DRAIN_CUT_SHORT, plugin=name)
            return False
        except Exception:  # noqa: BLE001 - the other plug-ins still drain
            log.emit(events.Events.PLUGIN_CRASHED, exc_info=True, plugin=name)
            return False
        return True

    async def _supervise(
        self, name: str, work: Callable[[], Awaitable[None]]
    ) -> None:
        delay_s = RESTART_MIN_S
        while True:
            try:
                await work()
                return
            except (Exception, curio.TaskTimeout):  # noqa: BLE001 - supervised
                self._parts.metrics.count("plugin_crashes", plugin=name)
                log.emit(
                    events.Events.PLUGIN_CRASHED, exc_info=True, plugin=name
                )
            await curio.sleep(delay_s)
            delay_s = min(delay_s * 2, RESTART_MAX_S)


def _in_dependency_order(classes: list[type[Plugin]]) -> list[type[Plugin]]:
    ordered: list[type[Plugin]] = []
    pending = list(classes)
    while pending:
        ready = [c for c in pending if set(c.requires) <= set(ordered)]
        if not ready:
            names = ", ".join(c.__name__ for c in pending)
            raise errors.PluginError(
                "break the cycle or register the missing plug-in that these "
                f"require: {names}"
            )
        ordered.extend(ready)
        pending = [c for c in pending if c not in ready]
    return ordered
