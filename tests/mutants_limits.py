"""Mutants of how entry VMs learn and share the request limits of backend servers."""

from fireflylock.direct.load_exchange import LoadExchange
from fireflylock.direct.permit_issuer import Account, PermitIssuer
from fireflylock.direct.placer import Placer
from fireflylock.direct.request_limits import LimitObservation, RequestLimits
from fireflylock.direct.request_permits import RequestPermits
from fireflylock.store import TokenBucket
from tests.mutant import Mutant

PERMITS = "tests/test_direct_request_permits.py::"

APPLY_ASK = PermitIssuer.apply_ask
RECORD_LIMIT = RequestLimits.record_limit


def issuer_is_this_vm(self, now, server):
    return self.vm


def whole_limit(self, now, server, issuer):
    return self.limited.get(server.name, 0.0) or 0.25


def never_ends(self, owner, limit, sent_at):
    if limit is not None:
        RECORD_LIMIT(self, owner, limit, sent_at)


def takes_nothing_back(self, now, vm, ask):
    before = self.bucket.tokens
    APPLY_ASK(self, now, vm, ask)
    self.bucket.tokens = min(before, self.bucket.tokens)


def in_flight_does_not_count(self, now):
    return self.demand.waiting


def latest_wins(self, other):
    return other is None or self.as_of >= other.as_of


def starts_full(self, now):
    self.bucket = TokenBucket(1.0, 1000.0, tokens=1000.0, refilled_at=now)
    self.accounts = {}


def first_vm(self, now):
    return next((vm for vm, a in self.accounts.items() if a.spare_needed(now)), None)


def unlimited_capacity(self, server):
    return float(server.entry.slots)


LIMIT_MUTANTS = (
    Mutant(
        "every VM uses the whole limit",
        RequestPermits,
        "rate",
        whole_limit,
        PERMITS + "test_vms_that_do_not_hear_each_other_keep_the_limit_together",
    ),
    Mutant(
        "every VM issues its own permits",
        RequestPermits,
        "choose_issuer",
        issuer_is_this_vm,
        PERMITS + "test_a_limit_is_kept_and_used_however_many_vms_share_it",
    ),
    Mutant(
        "limits are not spread to other VMs",
        RequestLimits,
        "own_observations",
        lambda self, now: [],
        "tests/test_direct_load_exchange.py"
        "::test_every_vm_learns_the_limit_that_a_server_names_to_one_of_them",
    ),
    Mutant(
        "aggregators drop the limits of other zones",
        LoadExchange,
        "apply_zone_total",
        lambda self, now, message: None,
        "tests/test_direct_load_exchange.py"
        "::test_every_vm_learns_the_limit_that_a_server_names_to_one_of_them",
    ),
    Mutant(
        "a limit never ends",
        RequestLimits,
        "record_limit",
        never_ends,
        "tests/test_direct_request_limits.py::test_a_limit_ends_with_a_response_that_names_none",
    ),
    Mutant(
        "the latest response wins, though others may have overtaken it",
        LimitObservation,
        "supersedes",
        latest_wins,
        "tests/test_direct_request_limits.py",
    ),
    Mutant(
        "unused permits do not go back",
        PermitIssuer,
        "apply_ask",
        takes_nothing_back,
        PERMITS + "test_permits_that_are_not_used_go_to_other_vms",
    ),
    Mutant(
        "permits on their way are issued again",
        Account,
        "needed",
        in_flight_does_not_count,
        PERMITS + "test_a_repeated_ask_gets_no_second_permit",
    ),
    Mutant(
        "a new issuer starts with permits",
        PermitIssuer,
        "__init__",
        starts_full,
        PERMITS + "test_a_new_issuer_has_no_permits_yet",
    ),
    Mutant(
        "the first VM gets all permits",
        PermitIssuer,
        "next_vm",
        first_vm,
        PERMITS + "test_a_vm_with_many_callers_does_not_take_the_whole_limit",
    ),
    Mutant(
        "placement does not know of limits",
        Placer,
        "capacity",
        unlimited_capacity,
        "tests/test_direct_placing.py"
        "::test_keys_that_a_limited_server_cannot_serve_migrate_and_it_gets_no_others",
    ),
)
