"""Tests of the transport between daemons, over loopback."""

import asyncio
from contextlib import contextmanager

import pytest
import zmq

from fireflylock.clock import SystemClock
from fireflylock.messages import BodyChunk, StatePull
from fireflylock.peer_keys import CurveKeys
from fireflylock.peers import PeerLimits, Peers
from tests.helpers import until

LIMITS = PeerLimits(queue_messages=10)


@contextmanager
def started(*peers):
    """Start transports and stop them afterwards."""
    for each in peers:
        each.start()
    try:
        yield peers
    finally:
        for each in peers:
            each.stop()


def plain(name, address="127.0.0.1:0"):
    return Peers(name, address, SystemClock(), limits=LIMITS)


def received_by(peers):
    """Return a queue that receives each (sender, message)."""
    queue = asyncio.Queue()
    peers.subscribe(StatePull, lambda sender, message: queue.put_nowait((sender, message)))
    return queue


async def test_messages_arrive_in_order_under_the_senders_name():
    with started(plain("a"), plain("b")) as (a, b):
        queue = received_by(b)
        a.connect("b", b.address)
        await until(lambda: a.is_connected("b"))
        for number in range(10):
            assert a.send("b", StatePull(number))
        received = [await queue.get() for _ in range(10)]
        assert received == [("a", StatePull(number)) for number in range(10)]
        assert a.sent.messages == b.received.messages


async def test_a_message_that_cannot_be_sent_is_refused_and_not_queued():
    with started(plain("a"), plain("b")) as (a, b):
        assert not a.send("b", StatePull(0))
        a.connect("b", "127.0.0.1:1")
        assert not a.send("b", StatePull(0))
        queue = received_by(b)
        a.connect("b", b.address)
        await until(lambda: a.is_connected("b"))
        assert a.send("b", StatePull(1))
        assert (await queue.get())[1] == StatePull(1)


async def test_the_queue_of_a_peer_that_does_not_read_is_bounded():
    with started(plain("a")) as (a,):
        context = zmq.Context()
        silent = context.socket(zmq.ROUTER)
        silent.set(zmq.RCVHWM, 1)
        port = silent.bind_to_random_port("tcp://127.0.0.1")
        a.connect("b", f"127.0.0.1:{port}")
        await until(lambda: a.is_connected("b"))
        accepted = 0
        while a.send("b", StatePull(accepted)):
            accepted += 1
        assert accepted >= 10
        context.destroy(linger=0)


async def test_a_second_process_cannot_bind_the_same_address():
    with started(plain("a")) as (a,):
        second = plain("a", a.address)
        with pytest.raises(OSError, match="cannot bind"):
            second.start()


async def test_an_invalid_message_is_counted_and_dropped():
    with started(plain("a"), plain("b")) as (a, b):
        queue = received_by(b)
        a.connect("b", b.address)
        await until(lambda: a.is_connected("b"))
        a.links["b"].socket.send(b"\x01garbage")
        a.links["b"].socket.send_multipart([b"two", b"frames"])
        assert a.send("b", StatePull(1))
        await queue.get()
        assert b.protocol_errors == 2


async def test_only_known_keys_connect_and_the_key_decides_the_name():
    keys = {name: CurveKeys.new() for name in ("a", "b", "stranger")}
    known = {name: keys[name].public for name in ("a", "b")}

    def encrypted(name, own_name):
        curve = CurveKeys(keys[name].public, keys[name].secret, known)
        return Peers(own_name, "127.0.0.1:0", SystemClock(), curve, LIMITS)

    a, b, stranger = encrypted("a", "a"), encrypted("b", "b"), encrypted("stranger", "a")
    with started(a, b, stranger):
        queue = received_by(b)
        stranger.connect("b", b.address)
        await until(lambda: b.refused_keys > 0)
        assert not stranger.send("b", StatePull(0))
        # A known peer that gives another name is still identified by its key.
        a.name = "somebody"
        a.connect("b", b.address)
        await until(lambda: a.is_connected("b"))
        assert a.send("b", StatePull(1))
        assert await queue.get() == ("a", StatePull(1))


async def test_a_subscriber_that_fails_does_not_stop_the_others():
    with started(plain("a"), plain("b")) as (a, b):

        def fail(sender, message):
            raise ZeroDivisionError

        b.subscribe(StatePull, fail)
        queue = received_by(b)
        a.connect("b", b.address)
        await until(lambda: a.is_connected("b"))
        for number in range(5):
            a.send("b", StatePull(number))
        assert [(await queue.get())[1].since_revision for _ in range(5)] == list(range(5))
        assert b.subscriber_faults == 5


async def test_a_graceful_stop_sends_queued_messages():
    """Answers to other VMs' requests are passed to the transport just before the process ends."""
    with started(plain("b")) as (b,):
        a = plain("a")
        a.start()
        queue = asyncio.Queue()
        b.subscribe(BodyChunk, lambda sender, message: queue.put_nowait(message))
        a.connect("b", b.address)
        await until(lambda: a.is_connected("b"))
        # More than fits into the buffers of the connection.
        large = BodyChunk(1, True, 0, bytes(3_000_000))
        accepted = sum(a.send("b", large) for _ in range(8))
        assert accepted == 8
        a.stop(flush=True)
        async with asyncio.timeout(20):
            for _ in range(accepted):
                assert (await queue.get()).data == large.data
