"""Mutants of the platform client, the links between daemons, membership and the state relay."""

from dataclasses import replace

from fireflylock.body_flow_control import BodySender, ReceivedBody
from fireflylock.contacts import Contacts
from fireflylock.exceptions import ErrorKind, PlatformError, RequestError
from fireflylock.forwarding import OutgoingRequest
from fireflylock.freshness import MICROSECOND, MILLISECOND, PlatformFreshness
from fireflylock.membership import Membership
from fireflylock.neighbours import Neighbours
from fireflylock.peer_keys import ZAP_VERSION, KeyAuthenticator
from fireflylock.refutation import Refutation
from fireflylock.state import StateCache
from fireflylock.suspicion import Suspicions
from fireflylock.vm_list import VMListReader, read_vm_list
from fireflylock.zone_reach import ZoneReports
from tests import test_platform
from tests.mutant import Mutant

ALWAYS = lambda *_: True  # noqa: E731
NOTHING = lambda *_: None  # noqa: E731

ON_HEARTBEAT = Membership._on_heartbeat
ON_VM_LIST = Contacts.on_vm_list
ON_CHUNK = ReceivedBody.on_chunk
FAIL_OUTGOING = OutgoingRequest.fail


def apply_in_any_order(self, values, since_revision, revision):
    for value in values:
        self.values[value.key] = value
    self.revision = max(self.revision, revision)
    return [value.key for value in values]


def apply_across_gaps(self, values, since_revision, revision):
    changed = []
    for value in values:
        held = self.values.get(value.key)
        if held is None or held.revision < value.revision:
            self.values[value.key] = value
            changed.append(value.key)
    self.revision = max(self.revision, revision)
    return changed


def age_since_arrival(self, now, message, own_incarnation):
    if message.platform_age_ms >= 0:
        self.record_read(now - message.platform_age_ms * MILLISECOND)


def echo_of_any_incarnation(self, now, message, own_incarnation):
    if message.platform_age_ms >= 0 and message.echo_us >= 0:
        self.record_read(message.echo_us * MICROSECOND - message.platform_age_ms * MILLISECOND)


def believe_any_list(self, vm_list):
    if self.vm_list is not None:
        self.vm_list = replace(self.vm_list, version=-1)
    return ON_VM_LIST(self, vm_list)


def believe_late_heartbeat(self, now, sender, message):
    self.neighbours.hear(now, sender, message, self.own_row.incarnation)
    return ON_HEARTBEAT(self, now, sender, message)


def monitored_alone(self):
    return list(self.monitored.items())


def contradict_at_once(self, now):
    self.due_at = now


async def read_any_list(self):
    return read_vm_list(await self.client.call("GET", "", self.timeout))


def chunk_at_any_offset(self, chunk):
    self.offset = chunk.offset
    ON_CHUNK(self, chunk)


async def end_instead_of_cut(self):
    await self.send(self._chunk(b"", last=True))


def credit_without_end(self, message):
    self.credit = 10**12
    self.credited.set()


def lost_is_not_run(self, error):
    FAIL_OUTGOING(self, RequestError(ErrorKind.OWNER_UNREACHABLE, error.detail))


def any_key(self, question):
    return [ZAP_VERSION, question[1], b"200", b"", b"a", b""]


async def write_without_reading_back(
    store, clock, key, data, expected, is_mine, also=None, also_expected=None
):
    try:
        return await store.put(key, data, expected, also)
    except PlatformError:
        return await store.put(key, data, expected, also)


MEMBERSHIP = "tests/test_membership.py::"
ISOLATED = MEMBERSHIP + "test_a_member_that_receives_nothing_causes_no_loss"
AGE = MEMBERSHIP + "test_the_age_of_the_platform_reading_is_never_underestimated"
ECHO = MEMBERSHIP + "test_an_echo_from_before_a_restart_is_ignored"
VM_LIST = MEMBERSHIP + "test_the_vm_list_only_adds_contacts_and_removes_lost_members"
PAUSED = MEMBERSHIP + "test_a_paused_member_returns_without_suspecting_others"
LATE = MEMBERSHIP + "test_a_late_message_of_an_earlier_process_is_ignored"
FLAPPING = MEMBERSHIP + "test_a_flapping_member_refutes_its_loss_with_growing_delay"
FOLLOWER = MEMBERSHIP + "test_a_sender_of_heartbeats_receives_heartbeats"
CUT_ZONE = MEMBERSHIP + "test_a_zone_that_is_cut_off_is_unreachable_but_not_lost"
HALVES = MEMBERSHIP + "test_a_partition_within_a_zone_causes_no_loss"
STATE = "tests/test_state.py"
FORWARDING = "tests/test_forwarding.py::"
PLATFORM = "tests/test_platform.py::"

LINK_MUTANTS = (
    Mutant("apply an older value", StateCache, "apply", apply_in_any_order, STATE),
    Mutant("claim a gap in the state away", StateCache, "apply", apply_across_gaps, STATE),
    Mutant(
        "count a reading's age since arrival", PlatformFreshness, "hear", age_since_arrival, AGE
    ),
    Mutant(
        "believe an echo of an earlier life",
        PlatformFreshness,
        "hear",
        echo_of_any_incarnation,
        ECHO,
    ),
    Mutant("lose a member by one vote", Suspicions, "is_lost", ALWAYS, ISOLATED),
    Mutant(
        "believe an older list in membership", Contacts, "on_vm_list", believe_any_list, VM_LIST
    ),
    Mutant("hear a late heartbeat", Membership, "_on_heartbeat", believe_late_heartbeat, LATE),
    Mutant("blame others for an own pause", Neighbours, "forgive", NOTHING, PAUSED),
    Mutant("fall silent towards followers", Neighbours, "all", monitored_alone, FOLLOWER),
    Mutant("believe no witness", Neighbours, "vouch", NOTHING, HALVES),
    Mutant("flap without a hold-down", Refutation, "schedule", contradict_at_once, FLAPPING),
    Mutant("never call a zone cut off", ZoneReports, "is_cut", lambda *_: False, CUT_ZONE),
    Mutant(
        "read an older list of VMs",
        VMListReader,
        "read",
        read_any_list,
        PLATFORM + "test_older_vm_list_is_ignored",
    ),
    Mutant(
        "repeat a lost write without reading back",
        test_platform,
        "write_with_change_id",
        write_without_reading_back,
        PLATFORM + "test_write_with_a_lost_answer_is_found_by_reading_back",
    ),
    Mutant(
        "take chunks across a gap",
        ReceivedBody,
        "on_chunk",
        chunk_at_any_offset,
        FORWARDING + "test_a_lost_chunk_cuts_the_body",
    ),
    Mutant(
        "end a body that was cut short",
        BodySender,
        "cut",
        end_instead_of_cut,
        FORWARDING + "test_a_response_that_is_cut_short_never_looks_complete",
    ),
    Mutant(
        "send beyond the credit",
        BodySender,
        "on_credit",
        credit_without_end,
        FORWARDING + "test_a_request_and_its_response_arrive_complete",
    ),
    Mutant(
        "call a request not run after its gate was lost",
        OutgoingRequest,
        "fail",
        lost_is_not_run,
        FORWARDING + "test_loss_of_the_receiver_is_an_unknown_outcome_and_cuts_bodies",
    ),
    Mutant(
        "let any key connect",
        KeyAuthenticator,
        "_authenticate",
        any_key,
        "tests/test_peers.py::test_only_known_keys_connect_and_the_key_decides_the_name",
    ),
)
