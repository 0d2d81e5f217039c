"""Mutants of how entry VMs notice what they have missed, and of what protects callers."""

from fireflylock.backend import ServerPool
from fireflylock.direct import routes
from fireflylock.direct.freshness import ConfigurationTransfer, Freshness
from fireflylock.direct.load_exchange import LoadExchange
from fireflylock.direct.stopping import StopPlan
from fireflylock.direct.store_watcher import StoreWatcher
from fireflylock.direct.transfer_slots import TransferSlots
from fireflylock.frontend import Frontend
from fireflylock.link_pacer import LinkPacer
from tests.mutant import Mutant

FRESHNESS = "tests/test_direct_freshness.py::"
HIDDEN = FRESHNESS + "test_a_watch_that_is_never_answered_does_not_hide_a_new_configuration"
BUSY_LINK = (
    "tests/test_direct_busy_link.py"
    "::test_small_responses_do_not_wait_behind_large_ones_on_a_busy_link"
)
STOPPING = "tests/test_direct_stopping.py::"

RECORD_VALUES = StoreWatcher.record_values


async def reads_no_copy(self):
    """Leave the copy of the store unread."""


async def leaves_unfinished(self, error, timeout):
    """Leave the requests in flight without an answer."""


def knows_no_keys(self, values, is_snapshot):
    RECORD_VALUES(self, values, is_snapshot)
    self.keys.clear()


async def never_waits(self, size):
    """Write everything at once."""


async def always_free(self, size, timeout):
    self.used += 1
    return True


def any_idle(self, request_id):
    return self.idle.pop() if self.idle else None


FRESHNESS_MUTANTS = (
    Mutant(
        "a VM that is behind waits for its watch",
        Freshness,
        "catch_up",
        lambda self, now, prefix, progress: None,
        HIDDEN,
    ),
    Mutant("no VM reads the copy of the store", Freshness, "probe", reads_no_copy, HIDDEN),
    Mutant(
        "VMs do not hear what others have read",
        Freshness,
        "apply_claims",
        lambda self, vm, revisions: None,
        HIDDEN + "[10]",
    ),
    Mutant(
        "reports do not say what was read",
        LoadExchange,
        "apply_report",
        lambda self, now, report: None,
        HIDDEN + "[10]",
    ),
    Mutant(
        "a removed key is not noticed",
        StoreWatcher,
        "record_values",
        knows_no_keys,
        FRESHNESS + "test_a_watch_that_is_never_answered_does_not_hide_a_removed_server",
    ),
    Mutant(
        "VMs do not send their configuration",
        ConfigurationTransfer,
        "answer",
        lambda self, message: None,
        FRESHNESS + "test_a_vm_that_the_store_turns_away_gets_the_configuration_from_another_vm",
    ),
    Mutant(
        "VMs do not compare the versions of their configurations",
        Freshness,
        "ask_for_higher_version",
        lambda self, now: None,
        "tests/test_direct_restored.py"
        "::test_a_vm_that_starts_after_the_restore_takes_over_the_configuration_in_force",
    ),
    Mutant(
        "each VM may deviate from the weights by itself",
        routes,
        "MAX_FLEET_SPLIT_DEVIATION",
        1e9,
        "tests/test_direct_routes.py",
    ),
    Mutant(
        "a retry may use the connection that refused it",
        ServerPool,
        "take_idle",
        any_idle,
        "tests/test_direct_faulty_answers.py"
        "::test_a_refusal_that_a_server_repeats_is_not_taken_for_the_outcome_of_a_request",
    ),
    Mutant(
        "large responses are written at once",
        LinkPacer,
        "wait",
        never_waits,
        BUSY_LINK + "[callers]",
    ),
    Mutant(
        "any number of large responses may be on their way",
        TransferSlots,
        "acquire",
        always_free,
        BUSY_LINK + "[servers]",
    ),
    Mutant(
        "requests are sent although the process ends before they do",
        StopPlan,
        "can_finish",
        lambda self, now, work: True,
        STOPPING + "test_a_request_that_waits_during_a_stop_is_not_sent_when_it_can_not_finish",
    ),
    Mutant(
        "requests in flight get no answer at the end",
        Frontend,
        "answer_unfinished",
        leaves_unfinished,
        STOPPING + "test_a_request_that_still_runs_at_the_end_of_a_stop_gets_an_answer",
    ),
)
