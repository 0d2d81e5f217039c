"""Tests of what the demo's closing table is made of."""

from demo.caller import ANSWERED, NO_CONNECTION, NOT_RUN, Attempt
from demo.report import differing_answers, longest_gaps, wrong_answers
from demo.traffic import LOOK_UP, Call


def attempt(started: float, ended: float, outcome: str, **changes) -> Attempt:
    fields = {"request_id": "r", "order": "", "service": "mesa", "key": "k", "method": "GET"}
    fields.update(changes)
    return Attempt(path="/", started=started, ended=ended, outcome=outcome, **fields)


def test_a_gap_lasts_from_the_first_refusal_to_the_next_answer():
    attempts = [
        attempt(0.0, 0.1, ANSWERED),
        attempt(1.0, 1.1, NOT_RUN),
        attempt(0.9, 1.2, ANSWERED),
        attempt(1.5, 1.6, NOT_RUN),
        attempt(2.0, 2.25, ANSWERED),
        attempt(5.0, 9.0, NO_CONNECTION),
        attempt(5.0, 9.0, NOT_RUN, kind=LOOK_UP),
        attempt(3.0, 9.0, NOT_RUN, key="not probed"),
    ]
    gap = longest_gaps(attempts, {"k"})["mesa"]
    assert (gap.seconds, gap.since) == (1.25, 1.0)


def test_a_gap_that_never_ends_counts_to_the_last_try():
    attempts = [attempt(1.0, 1.1, NOT_RUN), attempt(2.0, 3.0, NOT_RUN)]
    assert longest_gaps(attempts, {"k"})["mesa"].seconds == 2.0


def test_answers_to_others_and_answers_that_differ_are_found():
    mine = attempt(0.0, 0.1, ANSWERED, order="o", answer={"key": "k", "server": "s1"})
    other = attempt(0.0, 0.1, ANSWERED, order="o", answer={"key": "x", "server": "s2"})
    assert wrong_answers([mine]) == []
    assert len(wrong_answers([mine, other])) == 1
    assert differing_answers([Call([mine, mine])]) == []
    assert len(differing_answers([Call([mine, other])])) == 1
