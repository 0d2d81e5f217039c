"""Tests of route matching and of split routes."""

import random
from collections import Counter
from datetime import timedelta

import pytest

from fireflylock.direct.model import CallerLimits, Repeat, Route, RouteTable, ServiceSpec, Share
from fireflylock.direct.routes import RouteMatcher, SplitBalancer
from fireflylock.exceptions import ErrorKind, RequestError

LIMITS = CallerLimits(1000, 1000, timedelta(seconds=1), timedelta(seconds=1))


def route(name, prefix, *shares, host="a.example"):
    return Route(
        name=name,
        host=host,
        prefix=prefix,
        repeat=Repeat.IDEMPOTENT,
        timeout=timedelta(seconds=1),
        target=timedelta(milliseconds=200),
        priority=1,
        attempts=2,
        shares=shares or (Share("s", 1.0),),
    )


def table(*routes):
    return RouteTable(1, routes, {"s": ServiceSpec("s", "/", 10, False)}, LIMITS)


def test_the_longest_prefix_of_the_host_wins():
    matcher = RouteMatcher(
        table(
            route("all", "/"),
            route("a", "/a/"),
            route("ab", "/a/b/"),
            route("o", "/a/b/", host="b"),
        )
    )
    assert matcher.match("a.example", "/a/b/c").name == "ab"
    assert matcher.match("a.example", "/a/b").name == "a"
    assert matcher.match("a.example", "/a/").name == "a"
    assert matcher.match("a.example", "/ab/").name == "all"
    assert matcher.match("b", "/a/b/").name == "o"


def test_a_request_without_a_matching_route_is_refused():
    matcher = RouteMatcher(table(route("a", "/a/")))
    for host, path in (("a.example", "/b/"), ("a.example", "/a"), ("other", "/a/")):
        with pytest.raises(RequestError) as caught:
            matcher.match(host, path)
        assert caught.value.kind is ErrorKind.NO_SUCH_SERVICE


def test_a_split_keeps_its_proportions_over_few_requests():
    split = route("r", "/", Share("a", 90), Share("b", 10), Share("off", 0))
    counter = SplitBalancer()
    chosen = [counter.choose(split) for _ in range(200)]
    assert Counter(chosen) == {"a": 180, "b": 20}
    for start in range(0, 200, 10):
        assert Counter(chosen[start : start + 10])["b"] == 1


@pytest.mark.parametrize(("weight", "near_share"), [(10, 0.9), (25, 0.85), (50, 0.55)])
def test_a_split_prefers_services_with_an_owner_in_the_local_zone(weight, near_share):
    """A third of the keys have their owner in this zone; the weights are still kept."""
    split = route("r", "/", Share("keyed", weight), Share("other", 100 - weight))
    counter = SplitBalancer()
    rng = random.Random(5)
    chosen = []
    for _ in range(3000):
        near = 1 if rng.random() < 1 / 3 else -1
        service = counter.choose(split, lambda name, near=near: near if name == "keyed" else 0)
        chosen.append((service, near))
    keyed = [near for service, near in chosen if service == "keyed"]
    assert abs(len(keyed) - 30 * weight) <= 3
    assert keyed.count(1) >= near_share * len(keyed)
    for start in range(0, 3000, 100):
        part = sum(service == "keyed" for service, _ in chosen[start : start + 100])
        assert abs(part - weight) <= 6


def test_a_service_with_zero_weight_gets_no_requests():
    split = route("r", "/", Share("keyed", 0), Share("other", 100))
    counter = SplitBalancer()
    chosen = {counter.choose(split, lambda name: int(name == "keyed")) for _ in range(50)}
    assert chosen == {"other"}


def test_new_weights_apply_from_the_next_request():
    counter = SplitBalancer()
    for _ in range(5):
        counter.choose(route("r", "/", Share("a", 1), Share("b", 1)))
    chosen = [counter.choose(route("r", "/", Share("a", 0), Share("b", 1))) for _ in range(5)]
    assert set(chosen) == {"b"}


def shares_by_window(vms, weight, hot_share, length, rng):
    """Return the keyed part's share in every window of a fleet's requests.

    The owner of a third of the keys is in a VM's zone; the hot key's owner is near a third of
    the VMs.
    """
    split = route("r", "/", Share("keyed", weight), Share("other", 100 - weight))
    fleet = [SplitBalancer() for _ in range(vms)]
    for balancer in fleet:
        balancer.vms = lambda: vms
    keyed = [0]
    for _ in range(20 * length):
        number = rng.randrange(vms)
        is_hot = rng.random() < hot_share
        near = 1 if (number % 3 == 0 if is_hot else rng.random() < 1 / 3) else -1
        chosen = fleet[number].choose(split, lambda name, n=near: n if name == "keyed" else 0)
        keyed.append(keyed[-1] + (chosen == "keyed"))
    return [(keyed[n + length] - keyed[n]) / length for n in range(len(keyed) - length)]


@pytest.mark.parametrize("vms", [4, 26, 79])
@pytest.mark.parametrize("weight", [10, 50, 70, 90, 97])
@pytest.mark.parametrize("hot_share", [0.0, 0.5])
def test_weights_hold_for_the_sum_of_all_vms_from_the_first_request_on(vms, weight, hot_share):
    for seed in range(5):
        shares = shares_by_window(vms, weight, hot_share, 200, random.Random(seed))
        assert max(abs(share - weight / 100) for share in shares) <= 0.2
