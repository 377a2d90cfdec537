"""Every bench still runs, on a small load."""

import os
import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parents[1]


def run(*arguments):
    return subprocess.run(
        [sys.executable, *arguments],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": f".:{ROOT / 'bench'}"},
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )


class TestBench:
    @pytest.mark.parametrize(
        "arguments",
        [
            ("bench/pipeline_cost.py", "--workers", "3,6", "--rounds", "1"),
            ("bench/tasks_bench.py", "--seconds", "3", "--seeds", "1"),
            (
                "bench/filler_bench.py",
                "--workers",
                "6",
                "--seconds",
                "28",
                "--seeds",
                "1",
            ),
        ],
        ids=lambda arguments: arguments[0],
    )
    def test_small_run_prints_a_table(self, arguments):
        done = run(*arguments)
        assert done.returncode == 0, done.stderr
        assert len(done.stdout.splitlines()) > 1

    @pytest.mark.parametrize(
        "path", sorted((ROOT / "bench").glob("*_*.py")), ids=lambda p: p.name
    )
    def test_program_can_be_loaded(self, path):
        """Benches of real processes take long, and are only loaded here."""
        done = run("-c", f"import runpy; runpy.run_path({str(path)!r})")
        assert done.returncode == 0, done.stderr
