"""When the grants of servers have expired, whatever is learnt about former leaders."""

from datetime import timedelta

from fireflylock.direct.grant_expiry import GrantExpiry

SECOND = timedelta(seconds=1)


def test_what_is_noted_after_a_restore_shortens_no_wait():
    """A former leader whose lease ended early may grant keys after the restore was seen."""
    grant_expiry = GrantExpiry(10 * SECOND, others_end=101.5 * SECOND)
    end = grant_expiry.previous_grants_end
    grant_expiry.extend_previous_grants(100 * SECOND)
    assert grant_expiry.previous_grants_end == end
    grant_expiry.extend_previous_grants(103 * SECOND)
    assert grant_expiry.previous_grants_end == end + 1.5 * SECOND


def test_a_statement_of_a_former_leader_lengthens_no_wait():
    grant_expiry = GrantExpiry(10 * SECOND, others_end=100 * SECOND)
    end = grant_expiry.previous_grants_end
    grant_expiry.limit_previous_grants(end + SECOND)
    assert grant_expiry.previous_grants_end == end
    grant_expiry.limit_previous_grants(end - SECOND)
    assert grant_expiry.previous_grants_end == end - SECOND
