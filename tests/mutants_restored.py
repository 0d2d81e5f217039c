"""Mutants of what holds when the platform's store is restored from an older copy."""

from dataclasses import replace
from datetime import timedelta

from fireflylock import store
from fireflylock.direct import key_ranges, leadership, placer
from fireflylock.direct.key_ranges import MapRecord
from fireflylock.direct.leadership import Leadership
from fireflylock.direct.node import DirectNode
from fireflylock.direct.placer import Placer
from fireflylock.direct.recollection import Recollection
from fireflylock.direct.servers import Server, ServerTable
from fireflylock.platform.kv_store import KeyValueStore
from fireflylock.store_era import StoreEra
from tests.mutant import Mutant

ADAPTER = "tests/test_platform_adapter.py::"
ERAS = ADAPTER + "test_answers_of_two_eras_are_told_apart"
RESTORED = "tests/test_direct_restored.py::"
PLACING = "tests/test_direct_placing.py::"
RESTORED_MAP = (
    PLACING + "test_a_restored_map_is_not_taken_for_the_latest_while_the_longest_holds_last"
)
SERVERS = "tests/test_direct_servers.py::"

CHECK_ANSWER = StoreEra.check_answer
PAGES = KeyValueStore.pages
ENCODE_MAP = placer.encode_map
LOAD_AFTER_RESTORE = Placer.load_after_restore
START_MIGRATION = Placer.start_migration
SLEEP_UNTIL = Placer.sleep_until
WRITE_WITH_CHANGE_ID = placer.write_with_change_id
NODE_RESTORED = DirectNode.store_restored
IS_OUTDATED = ServerTable.is_outdated


class BareRevisions(StoreEra):
    """Compares revisions of all eras as they are."""

    def ordered(self, revision):
        return revision

    def is_current(self, revision):
        return True


def accepts_earlier_era(self, sent_in, answered_in):
    if self.number is None or answered_in >= self.number:
        CHECK_ANSWER(self, sent_in, answered_in)


def ignores_when_sent(self, sent_in, answered_in):
    CHECK_ANSWER(self, None, answered_in)


def accepts_first_answer(self, sent_in, answered_in):
    if self.number is not None and answered_in > self.number:
        self.number = answered_in
        for callback in self.on_restored:
            callback()
        return
    CHECK_ANSWER(self, sent_in, answered_in)


async def pages_of_any_era(self, kind, query, answer_type):
    after = ""
    while True:
        async for page in PAGES(
            self, kind, query | ({"after": after} if after else {}), answer_type
        ):
            yield page
            break
        if not page.has_more:
            return
        after = page.items[-1].key


def names_no_era(range_map, change="", grants_end_ms=-1, era=-1, uncertain_ms=0):
    return ENCODE_MAP(range_map, change, grants_end_ms, uncertain_ms=uncertain_ms)


async def waits_for_no_lost_grants(self):
    """Let the first map be placed at once."""


def load_recorded(self, record, revision, remembered):
    return LOAD_AFTER_RESTORE(self, record, revision, None)


def free_at_once(self, now, key_range, reason, target):
    START_MIGRATION(self, now, key_range, reason, target)
    for migration in self.migrations:
        migration.free_from = timedelta(0)


async def ignores_forgotten_holds(self, instant):
    if instant != self.grant_expiry.previous_grants_end:
        await SLEEP_UNTIL(self, instant)


async def writes_without_lease(*args, also_expected=None):
    return await WRITE_WITH_CHANGE_ID(*args)


def waits_for_no_lapse(self, lapsing):
    return tuple(replace(one, lapse="lapse", duration=timedelta(0)) for one in lapsing)


def keeps_membership(self):
    NODE_RESTORED(self)
    self.must_rejoin = False


def older_incarnation_counts(self, known, entry):
    return entry.born == known.entry.born and IS_OUTDATED(self, known, entry)


def left_server_counts(self, known, entry):
    return entry.born < known.entry.born


def shutdown_is_forgotten(server):
    return False


def ignore(server, value):
    """Set nothing."""


RESTORE_MUTANTS = (
    Mutant(
        "a first map after a restore is placed at once",
        Placer,
        "wait_for_lost_grants",
        waits_for_no_lost_grants,
        PLACING + "test_a_first_map_after_a_restore_waits_for_grants_under_the_lost_map",
    ),
    Mutant(
        "revisions are not ordered by the store's era",
        store,
        "StoreEra",
        BareRevisions,
        ADAPTER + "test_revisions_increase_although_the_store_gives_them_out_again",
    ),
    Mutant(
        "an answer of an earlier era is accepted",
        StoreEra,
        "check_answer",
        accepts_earlier_era,
        ERAS,
    ),
    Mutant(
        "a call sent before a restore counts after it",
        StoreEra,
        "check_answer",
        ignores_when_sent,
        ERAS,
    ),
    Mutant(
        "the answer that shows a restore counts",
        StoreEra,
        "check_answer",
        accepts_first_answer,
        ADAPTER + "test_a_write_under_way_during_a_restore_is_not_taken_for_done",
    ),
    Mutant(
        "pages of two eras are mixed",
        KeyValueStore,
        "pages",
        pages_of_any_era,
        ADAPTER + "test_pages_of_two_eras_are_not_mixed",
    ),
    Mutant("a map's record names no era", placer, "encode_map", names_no_era, RESTORED_MAP),
    Mutant(
        "the copy's map is taken for the latest",
        MapRecord,
        "is_from_earlier_era",
        lambda self, era: False,
        RESTORED_MAP,
    ),
    Mutant(
        "the copy's map is ordered after those of its era",
        key_ranges,
        "in_era",
        lambda era, revision: revision,
        PLACING + "test_a_map_from_before_a_restore_keeps_its_place_in_the_order",
    ),
    Mutant(
        "maps from before a restore are forgotten",
        Placer,
        "load_after_restore",
        load_recorded,
        PLACING + "test_keys_stay_with_their_owners_through_a_restore",
    ),
    Mutant(
        "epochs may be given out again after a restore",
        placer,
        "EPOCHS_PER_ERA",
        0,
        PLACING + "test_keys_whose_owners_no_vm_remembers_wait_until_all_holds_have_ended",
    ),
    Mutant(
        "the former leader's lease is not waited for",
        Recollection,
        "grants_from",
        lambda self: self.at,
        PLACING
        + "test_the_former_leader_has_stopped_before_another_vm_places_keys_after_a_restore",
    ),
    Mutant(
        "a refusal after a restore is not waited out",
        Placer,
        "start_migration",
        free_at_once,
        PLACING + "test_a_second_restore_makes_no_uncertain_map_certain",
    ),
    Mutant(
        "holds that no VM remembers are not waited out",
        Placer,
        "sleep_until",
        ignores_forgotten_holds,
        PLACING + "test_keys_whose_owners_no_vm_remembers_wait_until_all_holds_have_ended",
    ),
    Mutant(
        "a map is written without the leader lease",
        placer,
        "write_with_change_id",
        writes_without_lease,
        PLACING + "test_a_write_of_a_map_that_arrives_after_a_restore_changes_nothing",
    ),
    Mutant(
        "lapsing ranges are not waited for after a restore",
        Placer,
        "with_new_lapse",
        waits_for_no_lapse,
        PLACING + "test_lapsing_ranges_are_waited_for_anew_after_a_restore",
    ),
    Mutant(
        "keys that were about to move before a restore are not remembered",
        leadership,
        "lapsing_ranges",
        lambda service, moving: (),
        PLACING
        + "test_keys_that_were_about_to_move_before_a_restore_are_not_granted_to_their_owner",
    ),
    Mutant(
        "the record does not tell that the map is uncertain",
        Placer,
        "uncertain_ms",
        lambda self: 0,
        PLACING + "test_a_leader_that_started_after_a_restore_learns_that_the_map_is_not_certain",
    ),
    Mutant(
        "a second restore makes a map certain",
        Leadership,
        "is_doubtful",
        lambda self, now, service, led: False,
        PLACING + "test_a_second_restore_makes_no_uncertain_map_certain",
    ),
    Mutant(
        "what a process does not know is counted from its start",
        Leadership,
        "era_known",
        lambda self: None,
        PLACING + "test_a_vm_that_reaches_the_store_only_after_a_restore_counts_holds_from_then",
    ),
    Mutant(
        "a process does not notice that it was frozen",
        Leadership,
        "notice_pause",
        lambda self, now: None,
        PLACING
        + "test_a_vm_that_was_frozen_takes_no_old_messages_for_the_latest_before_a_restore",
    ),
    Mutant(
        "a leader goes on after a restore",
        Leadership,
        "store_restored",
        lambda self: None,
        PLACING + "test_a_leader_does_not_go_on_with_a_lease_whose_id_was_given_out_again",
    ),
    Mutant(
        "a VM without memory leads after a restore",
        Leadership,
        "leaves_lease_to_others",
        lambda self, now: False,
        PLACING + "test_a_vm_that_remembers_the_latest_map_leads_after_a_restore",
    ),
    Mutant(
        "a lease from before a restore is renewed",
        DirectNode,
        "store_restored",
        keeps_membership,
        RESTORED + "test_a_vm_that_joined_in_the_lost_seconds_registers_again",
    ),
    Mutant(
        "servers get no time to register again after a restore",
        ServerTable,
        "start_reregistration_period",
        lambda self, now: None,
        RESTORED + "test_a_server_that_registered_in_the_lost_seconds_is_kept",
    ),
    Mutant(
        "a copy's registration takes a shutdown back",
        Server,
        "registered_shutdown",
        property(shutdown_is_forgotten, ignore),
        SERVERS + "test_a_shutdown_in_a_registration_is_not_taken_back_by_an_older_one",
    ),
    Mutant(
        "a copy brings an older incarnation back",
        ServerTable,
        "is_outdated",
        older_incarnation_counts,
        SERVERS + "test_a_restore_of_the_store_brings_no_older_incarnation_back",
    ),
    Mutant(
        "a copy brings a server back that has left",
        ServerTable,
        "is_outdated",
        left_server_counts,
        RESTORED + "test_a_server_that_left_in_the_lost_seconds_does_not_come_back",
    ),
)
