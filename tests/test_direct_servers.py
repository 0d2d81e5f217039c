"""Tests of the server table: leaving, missing and replaced servers."""

from dataclasses import replace
from datetime import timedelta

import pytest

from fireflylock.direct.key_ranges import Owner
from fireflylock.direct.model import ServerEntry
from fireflylock.direct.servers import (
    MAX_BACKOFF,
    REREGISTRATION_TIME,
    RETURN_CONFIRMATION_TIME,
    ServerTable,
)

START = timedelta(seconds=100)
SECOND = timedelta(seconds=1)
DRAIN = timedelta(seconds=2)


def entry(name="s0", born=1, port=80, leaving=False):
    return ServerEntry(name, born, "s", "a", "h", port, 4, leaving, timedelta(0))


def table(*entries):
    made = ServerTable(DRAIN)
    for one in entries:
        made.register(START, one)
    return made


def test_a_leaving_server_gets_requests_for_a_part_of_the_drain_period():
    servers = table(entry())
    servers.register(START, entry(leaving=True))
    server = servers.servers["s0"]
    assert server.may_get_requests(START + SECOND, DRAIN)
    assert not server.may_get_requests(START + 1.2 * SECOND, DRAIN)


def test_a_shutdown_announced_during_a_store_outage_counts_as_drained():
    """Seen in tumblestone-za scale-2, seed 346788210071: a VM was cut off for 12 s."""
    listed = table(entry())
    listed.replace(START, [entry(leaving=True)])
    assert not listed.servers["s0"].may_get_requests(START, DRAIN)
    watched = table(entry())
    watched.start_reregistration_period(START)
    watched.register(START + 0.1 * SECOND, entry(leaving=True))
    assert not watched.servers["s0"].may_get_requests(START + 0.1 * SECOND, DRAIN)


def test_a_registration_missing_after_an_outage_is_backdated_once_it_counts():
    servers = table(entry())
    servers.start_reregistration_period(START)
    servers.replace(START, [])
    server = servers.servers["s0"]
    assert not server.gone
    assert servers.tick(START + SECOND) == []
    assert servers.tick(START + REREGISTRATION_TIME) == ["s0"]
    assert server.gone
    assert not server.may_get_requests(START + REREGISTRATION_TIME, DRAIN)


def test_a_registration_that_returns_in_time_is_not_missing():
    servers = table(entry())
    servers.start_reregistration_period(START)
    servers.remove(START, "s0")
    servers.register(START + SECOND, entry())
    assert servers.tick(START + REREGISTRATION_TIME) == []
    assert servers.servers["s0"].may_get_requests(START + 3 * SECOND, DRAIN)


def test_a_new_process_at_an_address_replaces_the_previous_one():
    servers = table(entry("old", 1), entry("new", 2))
    assert servers.servers["old"].gone
    assert servers.is_replaced(Owner("old", 1, "h", 80))
    assert not servers.is_replaced(Owner("new", 2, "h", 80))


def test_a_registration_of_an_unknown_service_replaces_no_server_at_its_address():
    servers = table()
    servers.apply_services(START, ())
    odd = replace(entry("odd", born=2), service="unknown")
    servers.register(START, entry())
    servers.register(START, odd)
    servers.apply_services(START, ["s"])
    assert not servers.servers["s0"].gone
    servers.register(START, odd)
    assert not servers.servers["s0"].gone
    servers.apply_services(START, ["s", "unknown"])
    assert servers.servers["s0"].gone


def test_an_entry_of_an_unknown_service_replaces_no_server_of_its_name():
    """A live server lost its keys until its own next registration."""
    servers = table(entry())
    servers.apply_services(START, ["s"])
    odd = replace(entry(born=2), service="unknown")
    for apply in (
        lambda: servers.register(START, odd),
        lambda: servers.replace(START, [odd]),
    ):
        apply()
        assert not servers.is_replaced(Owner("s0", 1, "h", 80))
        assert servers.find_incarnation(Owner("s0", 1, "h", 80)) is not None
        assert not servers.servers["s0"].gone
    servers.register(START, entry())
    servers.apply_services(START, ["s", "unknown"])
    assert servers.servers["s0"].entry.service == "s"


def test_an_entry_replaces_the_server_of_its_name_once_its_service_is_configured():
    servers = table(entry())
    servers.apply_services(START, ["s"])
    servers.register(START, replace(entry(born=2), service="new"))
    servers.apply_services(START, ["s", "new"])
    assert servers.is_replaced(Owner("s0", 1, "h", 80))
    assert servers.servers["s0"].entry.service == "new"


@pytest.mark.parametrize("whole", [False, True])
def test_a_server_whose_entry_is_removed_is_gone_whatever_was_written_there(whole):
    servers = table(entry())
    servers.apply_services(START, ["s"])
    servers.register(START, replace(entry(born=2), service="new"))
    if whole:
        servers.replace(START, [])
    else:
        servers.remove(START, "s0")
    assert servers.servers["s0"].gone
    servers.apply_services(START, ["s", "new"])
    assert servers.servers["s0"].gone


def test_a_late_older_registration_replaces_no_server():
    servers = table(entry("new", 2), entry("old", 1))
    assert servers.servers["old"].gone
    assert not servers.servers["new"].gone
    assert not servers.is_replaced(Owner("new", 2, "h", 80))


def test_a_new_incarnation_with_the_same_name_replaces_the_old_one():
    servers = table(entry(born=1))
    servers.register(START, entry(born=2))
    assert servers.is_replaced(Owner("s0", 1, "h", 80))
    assert servers.find_incarnation(Owner("s0", 1, "h", 80)) is None
    assert servers.find_incarnation(Owner("s0", 2, "h", 80)) is not None


def test_a_shutdown_in_a_registration_is_not_taken_back_by_an_older_one():
    servers = table(entry(), entry(leaving=True))
    servers.register(START + SECOND, entry())
    assert servers.servers["s0"].leaving_since == START


def test_a_restore_of_the_store_brings_no_older_incarnation_back():
    servers = table(entry(born=5, port=81))
    servers.replace(START, [entry(born=4)], restored=True)
    assert servers.servers["s0"].entry.born == 5
    assert not servers.servers["s0"].gone


def test_a_server_that_a_restore_brings_back_counts_again_only_if_it_stays_registered():
    servers = table(entry("stays"), entry("expires", port=81))
    servers.replace(START, [])
    servers.replace(START + SECOND, [entry("stays"), entry("expires", port=81)], restored=True)
    assert servers.servers["stays"].gone
    servers.remove(START + 3 * SECOND, "expires")
    servers.tick(START + SECOND + RETURN_CONFIRMATION_TIME)
    assert not servers.servers["stays"].gone
    assert servers.servers["expires"].gone


def test_a_returned_registration_that_a_later_list_lacks_does_not_count():
    servers = table(entry())
    servers.replace(START, [])
    servers.replace(START + SECOND, [entry()], restored=True)
    servers.replace(START + 2 * SECOND, [])
    servers.tick(START + SECOND + RETURN_CONFIRMATION_TIME)
    assert servers.servers["s0"].gone


def test_a_second_list_after_a_restore_brings_no_server_back():
    servers = table(entry())
    servers.replace(START, [])
    servers.replace(START + SECOND, [entry()], restored=True)
    servers.replace(START + 2 * SECOND, [entry()])
    assert servers.servers["s0"].gone
    servers.tick(START + SECOND + RETURN_CONFIRMATION_TIME)
    assert not servers.servers["s0"].gone


def test_a_server_that_registers_again_after_a_restore_counts_at_once():
    servers = table(entry())
    servers.replace(START, [])
    servers.replace(START + SECOND, [entry()], restored=True)
    servers.register(START + 2 * SECOND, entry())
    assert not servers.servers["s0"].gone


def test_a_server_that_announced_its_shutdown_in_a_response_stays_leaving():
    """Its registration may still say that it is ready, or end without a change."""
    servers = table(entry())
    owner = Owner("s0", 1, "h", 80)
    assert servers.mark_leaving(START, owner)
    assert not servers.mark_leaving(START + SECOND, owner)
    servers.register(START + SECOND, entry())
    assert not servers.servers["s0"].may_get_requests(START + DRAIN, DRAIN)
    servers.remove(START + SECOND, "s0")
    assert servers.servers["s0"].leaving_since == START


def test_only_the_incarnation_that_announced_its_shutdown_leaves():
    servers = table(entry())
    assert not servers.mark_leaving(START, Owner("s0", 7, "h", 80))
    assert servers.mark_leaving(START, Owner("s0", 1, "h", 80))
    servers.register(START, entry(born=2))
    assert servers.servers["s0"].leaving_since is None


def test_a_requested_backoff_is_bounded_and_never_shortened():
    servers = table(entry())
    server = servers.servers["s0"]
    server.back_off(START, 3 * SECOND)
    server.back_off(START, SECOND)
    assert server.is_backing_off(START + 2.9 * SECOND)
    assert not server.is_backing_off(START + 3 * SECOND)
    server.back_off(START, timedelta(days=9))
    assert server.backoff_until == START + MAX_BACKOFF
