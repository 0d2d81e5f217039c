"""Mutants of what holds when leases of the store end before their time."""

from fireflylock.direct.end_of_work import LapseEnded
from fireflylock.direct.grant_expiry import GrantExpiry
from fireflylock.direct.known_lapses import KnownLapses
from fireflylock.direct.leader_lease import LeaderLease
from fireflylock.direct.leadership import Leadership
from fireflylock.direct.placer import Placer
from fireflylock.direct.recollection import Recollection
from tests.mutant import Mutant

EARLY_ENDS = "tests/test_direct_early_lease_end.py::"
HISTORIES = (
    "tests/test_direct_placing_faults.py::"
    "test_random_histories_with_faulty_links_and_leases_never_give_a_key_two_owners"
)
LAPSES = "tests/test_direct_known_lapses.py::"
PROOFS = "tests/test_direct_end_of_work.py::"
GRANTS = "tests/test_direct_grant_expiry.py::"
PLACING = "tests/test_direct_placing.py::"

UPDATE = KnownLapses.update


def others_end_at_once(self):
    return self.acquired_at


def lapses_are_over(self, now, range_map):
    self.ends[range_map.service] = {one.lapse: now for one in range_map.lapsing}


def any_lapse_is_known(self, now, range_map):
    UPDATE(self, now, range_map)
    ends = self.ends[range_map.service]
    first = min(ends.values(), default=now)
    self.ends[range_map.service] = dict.fromkeys(ends, first)


def keeps_lapses_of_older_maps(self, now, range_map):
    known = self.ends.get(range_map.service, {})
    UPDATE(self, now, range_map)
    self.ends[range_map.service] = {**self.ends[range_map.service], **known}


def ignores_end(self, key_range, lapse, now):
    return lapse != "" and lapse == self.lapse


def moves_from_the_start(self):
    return self.map_is_certain_from


def is_certain_for_all(self, service):
    return service not in self.doubtful


def sent_on_arrival(self, now, message):
    return now


def may_shorten_the_wait(self, now):
    self.others_end = now


LEASE_MUTANTS = (
    Mutant(
        "grants of a former leader count until the next one wins",
        LeaderLease,
        "others_end",
        others_end_at_once,
        EARLY_ENDS + "test_grants_of_a_leader_whose_lease_ended_early_count_until_it_stops",
    ),
    Mutant(
        "grants of a former leader count until the next one wins, in random histories",
        LeaderLease,
        "others_end",
        others_end_at_once,
        HISTORIES + "[37]",
    ),
    Mutant(
        "a lapse is over once it is heard of",
        KnownLapses,
        "update",
        lapses_are_over,
        EARLY_ENDS + "test_keys_that_lapse_are_not_given_on_when_a_lease_of_the_store_ends_early",
    ),
    Mutant(
        "a lapse is over once it is heard of, in random histories",
        KnownLapses,
        "update",
        lapses_are_over,
        HISTORIES + "[0]",
    ),
    Mutant(
        "a lapse ends with another one of its service",
        KnownLapses,
        "update",
        any_lapse_is_known,
        LAPSES + "test_a_lapse_is_measured_from_when_it_is_first_heard_of",
    ),
    Mutant(
        "a lapse that a map no longer names is remembered",
        KnownLapses,
        "update",
        keeps_lapses_of_older_maps,
        LAPSES + "test_a_lapse_that_has_been_forgotten_is_measured_anew",
    ),
    Mutant(
        "lapses are remembered through a restore",
        KnownLapses,
        "clear",
        lambda self: None,
        LAPSES + "test_a_restore_makes_vms_forget_the_lapses_that_they_have_measured",
    ),
    Mutant(
        "the end of a lapse is not looked at",
        LapseEnded,
        "covers",
        ignores_end,
        PROOFS + "test_a_proof_for_something_else_is_refused",
    ),
    Mutant(
        "a restore shortens the wait for grants of former leaders",
        GrantExpiry,
        "extend_previous_grants",
        may_shorten_the_wait,
        GRANTS + "test_what_is_noted_after_a_restore_shortens_no_wait",
    ),
    Mutant(
        "keys move while a former leader may go on",
        Placer,
        "moves_from",
        moves_from_the_start,
        EARLY_ENDS + "test_no_key_moves_before_a_former_leader_has_stopped",
    ),
    Mutant(
        "the map of a leader that has stepped down is certain after a restore",
        Recollection,
        "is_certain",
        is_certain_for_all,
        PLACING
        + "test_a_leader_that_stepped_down_is_not_the_last_one_for_vms_that_hear_most_others",
    ),
    Mutant(
        "a leader's message is as new as its arrival",
        Leadership,
        "sent_at",
        sent_on_arrival,
        PLACING + "test_a_leader_message_that_arrives_late_is_not_the_latest_before_a_restore",
    ),
)
