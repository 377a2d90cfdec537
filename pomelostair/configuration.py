"""The configuration that a process has in force."""

from pomelostair import declaration
from pomelostair import kernel
from pomelostair import settings as settings_module


@kernel.plugin(settings_module.Role.ENTRY, settings_module.Role.AGENT)
class Configuration(kernel.Plugin):
    """Keeps the newest accepted declarations in force."""

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._in_force = declaration.InForce()

    @property
    def in_force(self) -> declaration.InForce:
        """The declarations in force; read it again for each decision."""
        return self._in_force
