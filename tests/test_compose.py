import importlib
import pathlib
import subprocess
import sys

import pytest

from pomelostair import compose
from pomelostair import kernel
from pomelostair import settings

PACKAGE = pathlib.Path(compose.__file__).parent
ROLES = list(settings.Role)


def all_modules():
    for path in sorted(PACKAGE.glob("**/*.py")):
        if not path.name.startswith("__"):
            parts = path.relative_to(PACKAGE).with_suffix("").parts
            yield ".".join(parts)


class TestPluginModules:
    @pytest.mark.parametrize("role", ROLES)
    def test_names_every_module_with_a_plugin_of_the_role(self, role):
        for name in all_modules():
            importlib.import_module(f"pomelostair.{name}")
        modules = {
            cls.__module__.removeprefix("pomelostair.")
            for cls in kernel._registry[role]
            if cls.__module__.startswith("pomelostair.")
        }
        assert set(compose.PLUGIN_MODULES[role]) == modules

    def test_agent_of_the_platform_imports_no_scheduler(self):
        names = compose.PLUGIN_MODULES[settings.Role.PIPELINE_AGENT]
        imports = "; ".join(f"import pomelostair.{name}" for name in names)
        code = (
            f"import sys, pomelostair.compose; {imports}; print(*sys.modules)"
        )
        output = subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            text=True,
            check=True,
            cwd=PACKAGE.parent,
        ).stdout.split()
        for name in ("pipelinescheduler", "leader", "gate", "commandapi"):
            assert f"pomelostair.{name}" not in output
        assert "lark" not in output
