"""Tests of the settings."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st
from pydantic import ValidationError

from fireflylock.config import PeersSection, Settings
from fireflylock.config_fields import addresses_of_seeds
from fireflylock.exceptions import SettingsError

VALID = """\
[vm]
name = entrada-1
zone = litoral-rosario
[platform]
endpoints = 127.0.0.1:2379, 127.0.0.2:2379
vm_list_url = http://127.0.0.1:8080/vms
[timing]
session_ttl = 800 ms  # twice the default
"""


def test_settings_are_read():
    settings = Settings.from_text(VALID)
    assert settings.platform.endpoints == ("127.0.0.1:2379", "127.0.0.2:2379")
    assert settings.timing.session_ttl == timedelta(milliseconds=800)
    assert ("vm.zone", "litoral-rosario") in settings.entries()


def test_all_settings_errors_are_reported_together(tmp_path):
    path = tmp_path / "vm.ini"
    path.write_text(
        "[vm]\nname = two words\n[platform]\nendpoints = somewhere:1\nvm_list_url = ftp://x\n"
        "[timing]\nsession_ttl = 4 parsecs\nrenew = 200 ms\n"
        "[admin]\naddress = 0.0.0.0\nport = 2\nport = 1\nfrobnicate = 1\n"
        "[callers]\nport = 70000\n[peers]\nkey_file = x\n[extra]\na = 1\njust words\n",
        "utf-8-sig",
    )
    with pytest.raises(SettingsError) as caught:
        Settings.from_file(path)
    places = {problem.removeprefix(f"{path}: ").split(":")[0] for problem in caught.value.problems}
    assert places == {
        "[vm] name",
        "[vm] zone",
        "[platform] endpoints",
        "[platform] vm_list_url",
        "[timing] session_ttl",
        "[callers] port",
        "[admin] frobnicate",
        "[peers]",
        "[extra]",
        "line 12",
        "line 20",
    }
    assert all("allowed: " in problem or "line" in problem for problem in caught.value.problems)


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ("[admin]\naddress = 0.0.0.0\n", "tokens_file"),
        ("[callers]\ntls_key = key.pem\n", "belong together"),
        ("renew = 700 ms\n", "below session_ttl"),
    ],
)
def test_inconsistent_options_are_rejected(change, reason):
    with pytest.raises(SettingsError, match=reason):
        Settings.from_text(VALID + change)


@given(
    st.text(max_size=200)
    | st.lists(
        st.sampled_from(
            ["[vm]", "[timing]", "[x", "[DEFAULT]", "name=1", " b", "renew=%(x)s", "=", "a=\x00"]
        )
        | st.text(max_size=20),
        max_size=12,
    ).map("\n".join)
)
def test_invalid_text_raises_only_settings_errors(text):
    with pytest.raises(SettingsError) as caught:
        Settings.from_text(text)
    assert caught.value.problems


@given(st.sampled_from(["callers.port", "timing.renew", "limits.header_bytes"]), st.text())
def test_any_value_of_an_option_is_accepted_or_rejected(option, value):
    section, name = option.split(".")
    try:
        settings = Settings.from_text(f"{VALID}[{section}]\n{name} = {value}\n")
    except SettingsError:
        return
    assert isinstance(settings, Settings)


def test_seeds_are_addresses_with_an_optional_vm_name():
    seeds = PeersSection(seeds="127.0.0.1:1, a1@127.0.0.2:2").seeds
    assert addresses_of_seeds(seeds) == {"127.0.0.1:1": "127.0.0.1:1", "a1": "127.0.0.2:2"}
    with pytest.raises(ValidationError):
        PeersSection(seeds="a b@127.0.0.1")
    with pytest.raises(ValidationError, match="each seed needs a name"):
        PeersSection(seeds="127.0.0.1:1", key_file="k", known_keys="n")
