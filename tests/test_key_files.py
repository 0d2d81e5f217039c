"""Tests of the files that hold keys and tokens."""

import json
import stat

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fireflylock import cmdline
from fireflylock.auth import TokenAuthenticator, digest_of, read_tokens
from fireflylock.config import PeersSection
from fireflylock.exceptions import ErrorKind, RequestError, SettingsError
from fireflylock.key_files import peer_keys


def test_new_key_files_are_private_and_accepted_by_the_settings(tmp_path, capsys):
    files = []
    for vm in ("entrada-1", "entrada-2"):
        files.append(tmp_path / f"{vm}.key")
        assert cmdline.main(["keys", "new", vm, "--file", str(files[-1])]) == cmdline.OK
    known = tmp_path / "known.keys"
    shown = capsys.readouterr()
    known.write_text(shown.out)
    section = PeersSection(key_file=str(files[0]), known_keys=str(known))
    keys = peer_keys(section)
    assert sorted(keys.known) == ["entrada-1", "entrada-2"]
    assert keys.known["entrada-1"] == keys.public
    assert stat.S_IMODE(files[0].stat().st_mode) == 0o600
    assert keys.secret not in shown.out + shown.err + repr(keys)
    assert cmdline.main(["keys", "new", "x", "--file", str(files[0])]) == cmdline.USAGE
    files[0].chmod(0o644)
    with pytest.raises(SettingsError, match="mode 0600"):
        peer_keys(section)


def test_only_the_hash_of_a_token_is_stored(tmp_path, capsys):
    file = tmp_path / "ana.token"
    arguments = ["token", "new", "ana", "--role", "operate", "--team", "mesa"]
    assert cmdline.main([*arguments, "--file", str(file)]) == cmdline.OK
    shown = capsys.readouterr()
    token = file.read_text().strip()
    assert token not in shown.out + shown.err
    assert stat.S_IMODE(file.stat().st_mode) == 0o600
    tokens = tmp_path / "tokens"
    tokens.write_text("# who may do what\n" + shown.out)
    authenticator = TokenAuthenticator(read_tokens(tokens))
    assert authenticator.identify(f"Bearer {token}").team == "mesa"
    for wrong in ("", token, f"Basic {token}", f"Bearer {token}x", "Bearer \udcff"):
        with pytest.raises(RequestError) as caught:
            authenticator.identify(wrong)
        assert caught.value.kind is ErrorKind.UNAUTHORIZED


@given(st.lists(st.sampled_from(["ana", "read", "*", "a b", digest_of("x"), "\t"]) | st.text()))
def test_errors_in_a_tokens_file_do_not_show_its_content(tmp_path_factory, words):
    path = tmp_path_factory.mktemp("tokens") / "tokens"
    path.write_text(" ".join(words), "utf-8", "surrogateescape")
    try:
        read_tokens(path)
    except SettingsError as error:
        assert digest_of("x") not in json.dumps(error.problems)
