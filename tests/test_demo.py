import subprocess
import sys

import pytest

from pomelostair_standins import demo
from pomelostair_standins import site


class TestDemo:
    def test_every_step_works(self):
        result = subprocess.run(
            [sys.executable, "-m", "pomelostair_standins.demo"],
            capture_output=True,
            text=True,
            timeout=90,
            check=False,
        )
        assert result.returncode == 0, result.stderr
        assert '"state": "completed"' in result.stdout
        assert "Every daemon exited with 0" in result.stdout

    def test_a_failed_step_is_named(self, tmp_path):
        unstarted_site = site.Site(site.Shape(), str(tmp_path))
        with pytest.raises(demo.DemoError, match="an answered request"):
            demo.Demo(unstarted_site, ready_timeout_s=0.2).run()
