import subprocess
import sys

import pytest

from pomelostair_standins import demo
from pomelostair_standins import site


class TestDemo:
    def test_every_step_works(self):
        done = subprocess.run(
            [sys.executable, "-m", "pomelostair_standins.demo"],
            capture_output=True,
            text=True,
            timeout=90,
            check=False,
        )
        assert done.returncode == 0, done.stderr
        assert '"state": "completed"' in done.stdout
        assert "Every daemon exited with 0" in done.stdout

    def test_a_failed_step_is_named(self, tmp_path):
        silent = site.Site(site.Shape(), str(tmp_path))
        with pytest.raises(demo.DemoError, match="an answered request"):
            demo.Demo(silent, ready_timeout_s=0.2).run()
