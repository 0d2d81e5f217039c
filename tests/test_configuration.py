"""Tests of configuration versions, their history, scope and rules."""

from dataclasses import replace
from datetime import UTC, datetime, timedelta

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from fireflylock.configuration import (
    Change,
    History,
    change_between,
    decode_configuration,
    decode_history,
    encode_configuration,
    encode_history,
    next_version,
)
from fireflylock.configuration_diff import diff
from fireflylock.configuration_rules import check_change, scope_of
from fireflylock.exceptions import ProtocolError
from fireflylock.model import (
    BackendServer,
    Configuration,
    EntryVM,
    ExpectedPeak,
    GoneStatement,
    ServerState,
    Service,
)

MESA = Service("mesa-pedidos", team="mesa", hosts=("pedidos.example",))
SERVER = BackendServer("mesa-1", "mesa-pedidos", "vm-1", "litoral-rosario", "127.0.0.1", 8001)
ENTRY = EntryVM("entrada-1", "litoral-rosario", "litoral", "127.0.0.1:7001")
PEAK = ExpectedPeak("mesa-pedidos", timedelta(hours=18), timedelta(hours=20), 300.0, {"k": 9.5})
CONFIGURATION = Configuration(
    version=3,
    services={MESA.name: MESA},
    servers={SERVER.name: SERVER},
    vms={ENTRY.name: ENTRY},
    peaks=(PEAK,),
    gone=(GoneStatement("vm-9", "ana", "rack fire"),),
)


def test_encoding_and_decoding_preserve_configuration_and_history():
    assert decode_configuration(encode_configuration(CONFIGURATION)) == CONFIGURATION
    change = change_between(Configuration(), CONFIGURATION)
    history = History().with_change(change)
    assert decode_history(encode_history(history)) == history


@given(st.binary(max_size=200))
@example(b"{}")
def test_invalid_stored_configurations_are_rejected(data):
    with pytest.raises(ProtocolError):
        decode_configuration(data)


def test_history_is_bounded_and_ordered():
    history = History()
    for version in range(1, 10):
        history = history.with_change(Change(version, str(version), "ana", ""), limit=3)
    assert [change.version for change in history.changes] == [7, 8, 9]


def test_diff_and_scope_name_what_changed():
    drained = replace(SERVER, state=ServerState.DRAINING)
    content = replace(
        CONFIGURATION,
        servers={SERVER.name: drained},
        services={MESA.name: replace(MESA, request_timeout=timedelta(seconds=3))},
    )
    new = next_version(CONFIGURATION, content, "ana", "c1", datetime(2026, 1, 1, tzinfo=UTC))
    assert diff(CONFIGURATION, new) == [
        "Service mesa-pedidos: request_timeout 10 s -> 3 s.",
        "Backend server mesa-1: state in -> draining.",
    ]
    assert new.version == 4
    scope = scope_of(CONFIGURATION, new)
    assert scope.services == {"mesa-pedidos"}
    assert not scope.entry_vms


def test_gone_statements_about_entry_vms_change_the_entry_vm_scope():
    gone = (*CONFIGURATION.gone, GoneStatement(ENTRY.name, "ana", "sold"))
    assert scope_of(CONFIGURATION, replace(CONFIGURATION, gone=gone)).entry_vms
    server_gone = (*CONFIGURATION.gone, GoneStatement("vm-1", "ana", "sold"))
    scope = scope_of(CONFIGURATION, replace(CONFIGURATION, gone=server_gone))
    assert scope.services == {"mesa-pedidos"}
    assert not scope.entry_vms


@pytest.mark.parametrize(
    "new",
    [
        replace(CONFIGURATION, services={MESA.name: replace(MESA, hash_slots=7)}),
        replace(CONFIGURATION, services={MESA.name: replace(MESA, checks_grants=True)}),
        replace(CONFIGURATION, services={}),
        replace(CONFIGURATION, servers={}),
        replace(CONFIGURATION, servers={SERVER.name: replace(SERVER, port=9)}),
        replace(CONFIGURATION, vms={}),
        replace(
            CONFIGURATION,
            servers={**CONFIGURATION.servers, "mesa-2": replace(SERVER, name="mesa-2")},
        ),
    ],
)
def test_changes_that_affect_a_running_server_are_rejected(new):
    assert check_change(CONFIGURATION, new)
    assert check_change(CONFIGURATION, CONFIGURATION) == []
