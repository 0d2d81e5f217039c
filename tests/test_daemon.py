"""Tests of the daemon's entry point."""

import pytest

from fireflylock import daemon
from fireflylock.auth import Principal, Role, new_token
from fireflylock.config import Settings
from fireflylock.exceptions import RequestError
from tests.test_config import VALID


def test_settings_are_checked_before_anything_starts(tmp_path, capsys):
    path = tmp_path / "vm.ini"
    path.write_text(VALID)
    assert daemon.main(["--config", str(path), "--check-config"]) == 0
    path.write_text(f"{VALID}[admin]\ntokens_file = {tmp_path}/none\n[callers]\nsurprise = 1\n")
    assert daemon.main(["--config", str(path)]) == daemon.BAD_SETTINGS
    assert "[callers] surprise: unknown" in capsys.readouterr().err
    path.write_text(f"{VALID}[admin]\ntokens_file = {tmp_path}/none\n")
    assert daemon.main(["--config", str(path)]) == daemon.BAD_SETTINGS


def test_tokens_are_read_again_and_a_bad_file_changes_nothing(tmp_path):
    file = tmp_path / "tokens"
    old, old_record = new_token(Principal("ana", Role.READ, "*"))
    new, new_record = new_token(Principal("rosa", Role.OPERATE, "mesa"))
    file.write_text(old_record.line())
    parts = daemon.Parts(Settings.from_text(f"{VALID}[admin]\ntokens_file = {file}\n"))
    file.write_text(new_record.line())
    parts.reload()
    assert parts.authority.identify(f"Bearer {new}").name == "rosa"
    with pytest.raises(RequestError):
        parts.authority.identify(f"Bearer {old}")
    file.write_text("nonsense")
    parts.reload()
    assert parts.authority.identify(f"Bearer {new}").name == "rosa"
