"""Random histories with faults of links, loads, restarts and leases beside all other faults.

Control requests arrive late or their answers are lost, messages between VMs overtake each other,
hot keys split ranges, VMs start again at once under their names, and leases of the store end
before their time.
"""

import random

import pytest

from fireflylock.direct.leadership import LEADER_TIMEOUT
from fireflylock.direct.model import KEY_COUNT
from tests.simulated_cluster import MAX_MESSAGE_DELAY, SERVICE, SimulatedCluster
from tests.test_direct_placing import (
    BASIC_STEP_KINDS,
    RESTORE_FAULT_STEP_KINDS,
    random_step,
    run_random_history,
)

# Probability that a step begins with one of these faults.
FAULT_SHARE = 0.4
# Probability that a lease ends when leases end early.
ENDED_LEASES_SHARE = 0.7
HOT_KEYS = 4


def faulty_step(cluster: SimulatedCluster, rng: random.Random, kinds: int) -> None:
    """Inject or repair a random fault of the links and VMs, or none; then one as usual."""
    if cluster.rng_faults.random() < FAULT_SHARE:
        random_fault(cluster, cluster.rng_faults)
    random_step(cluster, rng, kinds)


def random_fault(cluster: SimulatedCluster, rng: random.Random) -> None:
    """Inject or repair one random fault."""
    choice = rng.randrange(12)
    leader = cluster.leader()
    if choice == 0:
        lose_answers(cluster, rng)
    elif choice == 1:
        cluster.lost_answers.clear()
    elif choice == 2:
        cluster.late_messages = rng.choice((0.0, 0.3, 0.8))
    elif choice == 3:
        cluster.delayed_control_requests = rng.choice((0.0, 0.5))
    elif choice == 4:
        end_leases_early(cluster, rng)
    elif choice == 5 and leader and len(cluster.vms) > 1:
        end_lease_of_unheard_leader(cluster, rng, leader)
    elif choice == 6:
        add_hot_keys(cluster, rng)
    elif choice == 7 and cluster.vms:
        cluster.restart_vm(rng.choice(sorted(cluster.vms)))
    elif choice == 8:
        for name in sorted(cluster.vms):
            cluster.restart_vm(name)
    elif choice == 9:
        cut_servers_off(cluster, rng)
    elif choice == 10 and len(cluster.vms) > 1 and leader:
        cluster.kill_vm(leader)
        end_leases_early(cluster, rng)
    elif choice == 11 and cluster.vms:
        slow_down_link(cluster, rng)


def lose_answers(cluster: SimulatedCluster, rng: random.Random) -> None:
    """Lose the answers of some servers to one VM or to all; their requests arrive."""
    servers = [process.entry.name for process in cluster.processes if process.alive]
    vms = sorted(cluster.vms)
    if not servers or not vms:
        return
    chosen = rng.sample(servers, min(len(servers), rng.randint(1, 3)))
    receivers = vms if rng.random() < 0.4 else [rng.choice(vms)]
    cluster.lost_answers |= {(vm, server) for vm in receivers for server in chosen}


def slow_down_link(cluster: SimulatedCluster, rng: random.Random) -> None:
    """Let all messages to a VM wait in a queue, or lose such queues."""
    if cluster.message_delays:
        cluster.message_delays.clear()
        cluster.messages.clear()
        return
    delay = MAX_MESSAGE_DELAY * rng.random()
    cluster.message_delays[rng.choice(sorted(cluster.vms))] = delay


def cut_servers_off(cluster: SimulatedCluster, rng: random.Random) -> None:
    """Cut one or two servers off from all VMs; they go on working on their keys."""
    servers = [process.entry.name for process in cluster.processes if process.alive]
    chosen = rng.sample(servers, min(len(servers), rng.randint(1, 2)))
    cluster.cut_links |= {(vm, server) for vm in cluster.vms for server in chosen}


def end_leases_early(cluster: SimulatedCluster, rng: random.Random) -> None:
    """End most leases of the store before their time."""
    for lease in list(cluster.store.leases):
        if rng.random() < ENDED_LEASES_SHARE:
            cluster.store.end(lease)


def end_lease_of_unheard_leader(
    cluster: SimulatedCluster, rng: random.Random, leader: str
) -> None:
    """End the lease of a leader that does not notice: it soon reaches servers only.

    Another VM wins at once, and does not reach some servers that still obey the former leader.
    """
    others = [name for name in sorted(cluster.vms) if name != leader]
    servers = [process.entry.name for process in cluster.processes if process.alive]
    chosen = rng.sample(servers, min(len(servers), rng.randint(1, 3)))
    links = {(leader, name) for name in others} | {(name, leader) for name in others}
    cluster.cut_links |= links
    cluster.cut_links |= {(name, server) for name in others for server in chosen}

    def end_lease() -> None:
        # The links may have been repaired meanwhile.
        if cluster.leader() == leader and links <= cluster.cut_links:
            cluster.cut_from_store.add(leader)
            cluster.store.end(cluster.vms[leader].leadership.leader_lease.lease)

    cluster.scheduled.append((cluster.clock.elapsed() + LEADER_TIMEOUT, end_lease))


def add_hot_keys(cluster: SimulatedCluster, rng: random.Random) -> None:
    """Let some random keys be hot, so that ranges are split and merged."""
    work = {rng.randrange(KEY_COUNT): rng.uniform(0.5, 3.0) for _ in range(HOT_KEYS)}
    for vm in cluster.vms.values():
        vm.leadership.add_key_work(cluster.clock.elapsed(), {SERVICE: work})


# Seed that failed: 8, the early end of a lease of the store was taken for the end of holds.  Seed
# 0 fails if lapses end too early, 37 if grants of a leader whose lease ended early do not count.
@pytest.mark.parametrize("seed", [*range(12), 13, 37])
async def test_random_histories_with_faulty_links_and_leases_never_give_a_key_two_owners(seed):
    await run_random_history(seed, BASIC_STEP_KINDS, faulty_step)


# Seed that failed: 2, for the same reason.
@pytest.mark.parametrize("seed", range(12))
async def test_random_histories_with_faulty_links_and_leases_beside_restores(seed):
    await run_random_history(seed, RESTORE_FAULT_STEP_KINDS, faulty_step)
