"""Handling of zones that are cut off: suspends gates inside, and marks zones from outside."""

import itertools
from collections.abc import Callable
from datetime import timedelta

from fireflylock.assignment import Assignment
from fireflylock.assignment_changes import with_cut_zone, with_witness, without_cut_zone
from fireflylock.assignment_store import AssignmentStore, Change
from fireflylock.clock import Clock, Instant
from fireflylock.cut_zones import StandDown, Witness, moves_keys_when_cut
from fireflylock.exceptions import InvariantError, PlatformError
from fireflylock.fleet import Fleet
from fireflylock.gate import Gate
from fireflylock.gate_manager import GateManager
from fireflylock.log import logger
from fireflylock.messages import PeerMessage, WitnessQuestion, WitnessWord
from fireflylock.model import Configuration, Service
from fireflylock.ownership import Evidence
from fireflylock.recovery import Recovery

LOG = logger("zones")

# How long a zone must be silent before its witness marks it.
SILENCE_BEFORE_MARK = timedelta(seconds=2)
# A new process does not vouch until a mark sent by its predecessor must have arrived.
STARTUP_QUIET_PERIOD = timedelta(seconds=5)
# The witness is asked once the platform's age exceeds this share of the service's `move_after`.
WITNESS_QUESTION_SHARE = 0.25

ServiceZone = tuple[str, str]


class ZoneWatch:
    """Makes this VM's gates in a cut-off zone stand down, and is the witness of other zones.

    Parameters
    ----------
    gate_manager : GateManager
        The gates of this entry VM.
    assignment_store : AssignmentStore
        The assignments in force, and the way to change them.
    fleet : Fleet
        The other entry VMs.
    recovery : Recovery
        Reassigns the units of a zone that has stood down.
    evidence : callable
        Returns the evidence of which processes and VMs are gone.
    configuration : callable
        Returns the configuration in force.
    platform_age : callable
        Returns the age of the newest read of the platform whose state is held here.
    send : callable
        ``send(member, message)`` to another entry VM.
    clock : Clock
        The time source.

    Attributes
    ----------
    stand_downs : dict of (str, str) to StandDown
        By service and zone of the gates on this VM.
    witnesses : dict of (str, str) to Witness
        By service and zone for which this entry VM is the witness.
    """

    def __init__(
        self,
        gate_manager: GateManager,
        assignment_store: AssignmentStore,
        fleet: Fleet,
        recovery: Recovery,
        evidence: Callable[[], Evidence],
        configuration: Callable[[], Configuration],
        platform_age: Callable[[], timedelta | None],
        send: Callable[[str, PeerMessage], bool],
        clock: Clock,
    ) -> None:
        self.gate_manager = gate_manager
        self.assignment_store = assignment_store
        self.fleet = fleet
        self.recovery = recovery
        self.evidence = evidence
        self.configuration = configuration
        self.platform_age = platform_age
        self.send = send
        self.clock = clock
        self.started_at = clock.elapsed()
        self.stand_downs: dict[ServiceZone, StandDown] = {}
        self.witnesses: dict[ServiceZone, Witness] = {}
        self.silent_since: dict[str, Instant] = {}
        self.question_numbers = itertools.count(1)
        self.pending_questions: dict[int, Instant] = {}

    # Gates of this VM.

    def check_gates(self) -> None:
        """Make gates stand down whose zone nobody vouches for, and resume them afterwards."""
        for gate in self.gate_manager.gates.values():
            if moves_keys_when_cut(gate.service):
                self.check_gate(gate)

    def check_gate(self, gate: Gate) -> None:
        """Make one gate stand down, or resume it."""
        service, zone = gate.service, gate.server.zone
        assignment = self.assignment_store.get(service.name)
        if assignment is None:
            return
        drift = self.gate_manager.timing.drift
        present = self.stand_downs.get((service.name, zone))
        if present is None or present.move_after != service.move_after:
            present = StandDown(service.move_after, drift)
            self.stand_downs[service.name, zone] = present
        now = self.clock.elapsed()
        age = self.platform_age()
        if age is not None:
            present.on_platform(now, age, zone in assignment.cut_zones)
        if age is None or age > service.move_after * WITNESS_QUESTION_SHARE:
            self.ask_witness(service, zone, assignment)
        due = present.is_due(now)
        if due != gate.stood_down:
            LOG.warning(
                "gate suspended: its zone may be marked as cut off"
                if due
                else "gate resumed: its zone is not marked as cut off",
                server=gate.server.name,
            )
        gate.stand_down(due)

    def ask_witness(self, service: Service, zone: str, assignment: Assignment) -> None:
        """Ask the zone's witness to vouch that it has not marked the zone."""
        witness = assignment.witnesses.get(zone, "")
        now = self.clock.elapsed()
        self.pending_questions = {
            number: at
            for number, at in self.pending_questions.items()
            if now - at < service.move_after
        }
        number = next(self.question_numbers)
        if witness and self.send(witness, WitnessQuestion(service.name, zone, number)):
            self.pending_questions[number] = now

    def on_witness_word(self, sender: str, message: WitnessWord) -> None:
        """Apply the witness's answer, which counts from when the question was sent."""
        asked_at = self.pending_questions.pop(message.number, None)
        present = self.stand_downs.get((message.service, message.zone))
        assignment = self.assignment_store.get(message.service)
        if asked_at is None or present is None or assignment is None:
            return
        if assignment.witnesses.get(message.zone) == sender:
            present.on_witness(asked_at)

    # Zones for which this VM is the witness.

    def on_question(self, sender: str, message: WitnessQuestion) -> None:
        """Vouch for a zone unless this VM may have marked it as cut off."""
        key = (message.service, message.zone)
        witness = self.witnesses.get(key)
        past_startup = self.clock.elapsed() - self.started_at >= STARTUP_QUIET_PERIOD
        if witness is None or not past_startup or not witness.may_vouch():
            return
        self.send(sender, WitnessWord(message.service, message.zone, message.number))

    async def check_zones(self) -> None:
        """Mark zones that are cut off, reassign their units in time, and name witnesses."""
        configuration = self.configuration()
        self.track_silent_zones(configuration)
        for service in configuration.services.values():
            assignment = self.assignment_store.get(service.name)
            if assignment is None or not moves_keys_when_cut(service):
                continue
            for zone in sorted({s.zone for s in configuration.servers_of(service.name)}):
                await self.check_zone(service, zone, assignment)

    def track_silent_zones(self, configuration: Configuration) -> None:
        """Record since when each zone has been silent."""
        now = self.clock.elapsed()
        for zone in {server.zone for server in configuration.servers.values()}:
            if not self.fleet.is_zone_silent(zone):
                self.silent_since.pop(zone, None)
                continue
            self.silent_since.setdefault(zone, now)

    async def check_zone(self, service: Service, zone: str, assignment: Assignment) -> None:
        """Act as the zone's witness, or as the planner that names one."""
        me = self.gate_manager.me
        recorded = assignment.witnesses.get(zone, "")
        if recorded != me:
            self.witnesses.pop((service.name, zone), None)
            if self.fleet.planner_of(service.name) == me:
                await self.name_witness(service, zone, recorded)
            return
        witness = self.witnesses.get((service.name, zone))
        if witness is None:
            witness = Witness(zone, service.move_after, self.gate_manager.timing)
            self.witnesses[service.name, zone] = witness
        now = self.clock.elapsed()
        witness.on_assignment(now, assignment)
        since = self.silent_since.get(zone)
        if since is None:
            await self.remove_mark(service, zone, witness)
        elif now - since >= SILENCE_BEFORE_MARK:
            await self.mark(service, zone, witness)

    async def name_witness(self, service: Service, zone: str, present: str) -> None:
        """Record a witness for a zone that has none or whose witness is gone."""
        proof = self.evidence().gone_proof(present, present) if present else None
        if present and proof is None:
            return
        candidates = self.fleet.candidates(self.configuration())
        others = sorted(found.name for found in candidates if found.zone != zone)
        if not others:
            return
        await self.write(
            service,
            lambda found, change: (
                with_witness(found, zone, others[0], proof, change)
                if found.witnesses.get(zone, "") == present
                else None
            ),
        )

    async def mark(self, service: Service, zone: str, witness: Witness) -> None:
        """Mark a silent zone; once it must have stood down, reassign its units."""
        if witness.mark == 0:
            witness.begin_marking()
            me = self.gate_manager.me
            await self.write(service, lambda found, change: with_cut_zone(found, zone, me, change))
            witness.on_assignment(self.clock.elapsed(), self.assignment_store.get(service.name))
            return
        servers = self.configuration().servers_of(service.name)
        inside = frozenset(server.name for server in servers if server.zone == zone)
        proof = witness.stood_down(self.clock.elapsed(), inside)
        if proof is None:
            return
        for name in sorted(inside):
            present = self.assignment_store.get(service.name)
            if present is not None and present.units_of(name):
                await self.recovery.reassign(service.name, name, [proof])

    async def remove_mark(self, service: Service, zone: str, witness: Witness) -> None:
        """Remove the mark of a zone that is heard again."""
        if not witness.marking:
            return
        try:
            await self.assignment_store.writer.refresh(self.assignment_store.key(service.name))
        except PlatformError:
            return
        present = self.assignment_store.get(service.name)
        if present is not None and zone not in present.cut_zones:
            witness.resume_vouching()
            return
        await self.write(service, lambda found, change: without_cut_zone(found, zone, change))

    async def write(self, service: Service, change: Change) -> None:
        """Write a change of the assignment, if there is an assignment."""

        def of_present(present: Assignment | None, change_id: str) -> Assignment | None:
            return None if present is None else change(present, change_id)

        try:
            await self.assignment_store.update(service.name, of_present)
        except (InvariantError, PlatformError) as error:
            LOG.info("zone change not recorded", service=service.name, reason=str(error))
