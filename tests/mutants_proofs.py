"""Mutants of the proofs that keys are free."""

from datetime import timedelta

from fireflylock.direct.end_of_work import HoldsExpired
from fireflylock.direct.grant_expiry import GrantExpiry
from fireflylock.direct.placer import Placer
from fireflylock.http_client import HTTPClient
from tests.mutant import Mutant

PLACING = "tests/test_direct_placing.py::"
CONTROL = "tests/test_direct_control_answers.py::"
FREE_KEYS_OF_ENDED_OWNERS = Placer.free_keys_of_ended_owners
CALL = HTTPClient.call
RECORD_GRANT = GrantExpiry.record_grant


def believes_registrations(self, now):
    FREE_KEYS_OF_ENDED_OWNERS(self, now)
    for migration in self.migrations:
        owner = migration.key_range.owner
        if not migration.free and self.table.is_replaced(owner):
            # A false proof.
            self.set_free(migration, HoldsExpired(owner, timedelta(0)))


def halves_holds(self, now, owner, hold):
    RECORD_GRANT(self, now, owner, hold / 2)


async def shares_connections(
    self, method, path, timeout, body=b"", still_allowed=None, headers=(), exclusive=False
):
    return await CALL(self, method, path, timeout, body, still_allowed, headers)


PROOF_MUTANTS = (
    Mutant(
        "a registration frees keys",
        Placer,
        "free_keys_of_ended_owners",
        believes_registrations,
        PLACING + "test_a_restarted_server_keeps_the_keys_that_it_works_on",
    ),
    Mutant(
        "a registration at a live server's address frees keys",
        Placer,
        "free_keys_of_ended_owners",
        believes_registrations,
        PLACING + "test_a_registration_at_the_address_of_a_live_server_frees_no_keys",
    ),
    Mutant(
        "holds are recorded as shorter than they are",
        GrantExpiry,
        "record_grant",
        halves_holds,
        PLACING + "test_random_histories_never_give_a_key_two_owners",
    ),
    Mutant(
        "a release goes over a connection that was used before",
        HTTPClient,
        "call",
        shares_connections,
        CONTROL + "test_an_additional_answer_to_a_grant_does_not_answer_a_release",
    ),
)
