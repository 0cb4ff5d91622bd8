"""The soft state of a leader: reports and decisions, reset at each election."""

from collections.abc import Callable, Sequence

from marigolddoor_core.actions import Decision
from marigolddoor_core.capacity import Capacity
from marigolddoor_core.fleet import Demand, Fleet, ObservedTarget
from marigolddoor_core.instants import Instant
from marigolddoor_core.maintenance import BudgetLedger, Maintenance, Rollout
from marigolddoor_core.placement import Placement
from marigolddoor_core.questions.detection import Detection
from marigolddoor_core.registration import Registrar
from marigolddoor_core.reports import EntryReport, FleetReports
from marigolddoor_core.state.claim_expiry import ClaimExpiry
from marigolddoor_core.state.machine import StateMachine
from marigolddoor_wire.messages import (
    LeaseRenewal,
    ReportDemand,
    ReportTargets,
    ReportTargetsReply,
    ServiceDemand,
)
from marigolddoor_wire.peers import Address

from marigolddoor_control.consensus_service import ConsensusService

__all__ = ["Leadership"]


class Leadership:
    """Records the reports of entry processes and builds the fleet that decisions evaluate."""

    def __init__(
        self, state: StateMachine, consensus: ConsensusService, clock: Callable[[], float]
    ) -> None:
        self.state = state
        self.consensus = consensus
        self.clock = clock
        self.reports = FleetReports()
        self.placement = Placement()

    def create_decisions(self) -> Sequence[Decision]:
        """Reset the soft state and return new decisions, at the start of a leadership."""
        self.reports.clear()
        data_centres = {vm.data_centre for vm in self.state.vms.values()}
        self.reports.expect(data_centres, Instant(self.clock()))
        self.placement = Placement()
        ledger = BudgetLedger()
        return (
            Registrar(),
            self.placement,
            Maintenance(ledger),
            Rollout(ledger),
            Capacity(ledger),
            Detection(ledger),
            ClaimExpiry(),
        )

    def current_fleet(self) -> Fleet | None:
        """Return the current fleet, or None while this process is not the leader."""
        if not self.consensus.is_leader or not self.state.revision:
            return None
        now = Instant(self.clock())
        return Fleet(
            self.consensus.consensus_time(),
            self.state.revision,
            self.state.declaration,
            self.state.vms,
            self.state.tasks,
            self.state.questions,
            self.reports.targets(now),
            self.reports.demand(now),
            self.reports.unresponsive_data_centres(now),
        )

    def record_targets(self, message: ReportTargets) -> tuple[ReportTargetsReply, bool]:
        """Record a holder's report; return the reply and whether a round should start soon."""
        outcome = self.reports.record_targets(
            message.process,
            message.sequence,
            message.full,
            [
                ObservedTarget(report.announcement, report.state, report.age_s)
                for report in message.targets
            ],
            message.gone,
            Instant(self.clock()),
        )
        renewals = self.placement.renewals(
            [report.announcement for report in message.targets], self.consensus.consensus_time()
        )
        reply = ReportTargetsReply(
            tuple(
                LeaseRenewal(renewal.vm, renewal.task, renewal.token, renewal.lease_s)
                for renewal in renewals
            ),
            outcome.is_missing_delta,
        )
        return reply, outcome.has_news

    def entry_addresses(self) -> tuple[Address, ...]:
        """Return the peer addresses of the entry processes that report to this process."""
        reports = self.reports.entries.values()
        return tuple(Address(report.address) for report in reports if report.address)

    def record_demand(self, message: ReportDemand) -> None:
        """Record the demand report of an entry process."""
        self.reports.record_entry(
            EntryReport(
                message.process,
                message.data_centre,
                Instant(self.clock()),
                message.in_force,
                {
                    part.service: _demand(part, message.interval_s)
                    for part in message.services
                    if message.interval_s > 0
                },
                message.address,
            )
        )


def _demand(part: ServiceDemand, interval_s: float) -> Demand:
    return Demand(
        interval_s,
        part.arrived,
        part.admitted,
        part.refused,
        part.late,
        part.queued,
        part.slot_seconds / interval_s,
    )
