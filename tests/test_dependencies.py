import subprocess

import pytest

from deploy import dependencies


@pytest.fixture
def requirements(tmp_path):
    path = tmp_path / "requirements.txt"
    path.write_text("curio==1.6\n")
    return path


@pytest.fixture
def commands(monkeypatch):
    """Records the commands in place of running them."""
    recorded = []
    monkeypatch.setattr(
        dependencies, "_run", lambda *words: recorded.append(words)
    )
    return recorded


class TestInstallTarget:
    def test_current_folder_is_kept(self, tmp_path, requirements, commands):
        folder = tmp_path / "target" / "deps"
        assert dependencies.install_target(folder, requirements)
        (folder / "curio.py").touch()
        assert not dependencies.install_target(folder, requirements)
        assert (folder / "curio.py").exists()
        assert len(commands) == 1

    @pytest.mark.parametrize(
        ("module", "name", "value"),
        [
            ("platform", "machine", lambda: "other"),
            ("sysconfig", "get_config_var", lambda _name: "cpython-399"),
        ],
    )
    def test_folder_of_another_machine_is_replaced(
        self, tmp_path, requirements, commands, monkeypatch, module, name, value
    ):
        folder = tmp_path / "deps"
        with monkeypatch.context() as other_machine:
            other_machine.setattr(getattr(dependencies, module), name, value)
            dependencies.install_target(folder, requirements)
        (folder / "native.so").touch()
        assert dependencies.install_target(folder, requirements)
        assert not (folder / "native.so").exists()
        assert len(commands) == 2

    def test_changed_list_is_installed(self, tmp_path, requirements, commands):
        folder = tmp_path / "deps"
        dependencies.install_target(folder, requirements)
        requirements.write_text("curio==1.7\n")
        assert dependencies.install_target(folder, requirements)

    def test_unfinished_build_is_not_current(
        self, tmp_path, requirements, commands, monkeypatch
    ):
        folder = tmp_path / "deps"

        def fail(*_words):
            (folder / "half.py").touch()
            raise subprocess.CalledProcessError(1, "pip")

        with monkeypatch.context() as failing:
            failing.setattr(dependencies, "_run", fail)
            with pytest.raises(subprocess.CalledProcessError):
                dependencies.install_target(folder, requirements)
        assert dependencies.install_target(folder, requirements)
        assert not (folder / "half.py").exists()

    def test_folder_without_stamp_is_replaced(
        self, tmp_path, requirements, commands
    ):
        folder = tmp_path / "deps"
        folder.mkdir()
        (folder / "native.so").touch()
        assert dependencies.install_target(folder, requirements)
        assert not (folder / "native.so").exists()


class TestInstallVenv:
    def test_environment_of_another_machine_is_replaced(
        self, tmp_path, commands, monkeypatch
    ):
        (tmp_path / "requirements.lock").write_text("curio==1.6\n")
        (tmp_path / "pyproject.toml").write_text("[project]\n")
        folder = tmp_path / ".venv"

        def create(*words):
            commands.append(words)
            folder.mkdir(exist_ok=True)

        monkeypatch.setattr(dependencies, "_run", create)
        with monkeypatch.context() as other_machine:
            other_machine.setattr(
                dependencies.platform, "machine", lambda: "other"
            )
            assert dependencies.install_venv(folder, tmp_path)
        (folder / "native.so").touch()
        assert dependencies.install_venv(folder, tmp_path)
        assert not (folder / "native.so").exists()
        assert not dependencies.install_venv(folder, tmp_path)


class TestMain:
    def test_failed_installation_is_reported(self, monkeypatch, capsys):
        def fail(*_words):
            raise subprocess.CalledProcessError(1, "pip")

        monkeypatch.setattr(dependencies, "install_target", fail)
        assert dependencies.main([]) == 1
        assert "installation failed" in capsys.readouterr().err
