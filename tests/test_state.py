"""Tests of the cache of the platform's values."""

from hypothesis import given
from hypothesis import strategies as st

from fireflylock.state import StateCache
from fireflylock.store import Value


def history_of(keys):
    """Return one value per revision."""
    return [Value(key, number, b"%d" % number) for number, key in enumerate(keys, 1)]


@given(
    st.lists(st.sampled_from("abc"), min_size=1, max_size=12),
    st.lists(st.tuples(st.integers(0, 12), st.integers(0, 12)), max_size=12),
)
def test_no_arrival_order_applies_an_older_value_or_ignores_a_gap(keys, spans):
    history = history_of(keys)
    cache = StateCache()
    for first, last in spans:
        before = dict(cache.values)
        values = history[first:last]
        changed = cache.apply(values, first, min(last, len(history)))
        assert all(cache.values[key] != before.get(key) for key in changed)
        for key, value in before.items():
            assert cache.values[key].revision >= value.revision
        newest = {value.key: value for value in history[: cache.revision]}
        for key, value in newest.items():
            assert cache.values[key].revision >= value.revision


@given(st.lists(st.sampled_from("abc"), max_size=12), st.integers(0, 12))
def test_newer_values_bring_another_cache_up_to_date(keys, known):
    history = history_of(keys)
    full, behind = StateCache(), StateCache()
    full.apply(history, 0, len(history))
    behind.apply(history[:known], 0, min(known, len(history)))
    behind.apply(full.since(behind.revision), behind.revision, full.revision)
    assert behind == full


def test_deleted_key_has_no_value_and_does_not_return():
    cache = StateCache()
    cache.apply([Value("a", 2, b"")], 0, 2)
    cache.apply([Value("a", 1, b"old")], 0, 1)
    assert cache.get("a") is None
    assert cache.get("b") is None
