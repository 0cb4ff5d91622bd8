"""The modules with the dataclasses that are sent between processes or stored."""

from types import ModuleType

from marigolddoor_core import queue_calls, targets
from marigolddoor_core.consensus import configuration, entries, stored
from marigolddoor_core.consensus import messages as consensus_messages
from marigolddoor_core.declaration import organisation
from marigolddoor_core.jobs import changes as job_changes
from marigolddoor_core.jobs import enrolment
from marigolddoor_core.jobs import stored as job_stored
from marigolddoor_core.state import commands, objects, results, snapshots
from marigolddoor_core.timeline import clock, events, filters, timelines

from marigolddoor_wire import messages, queue_messages, replica_messages

__all__ = ["MODULES"]

MODULES: tuple[ModuleType, ...] = (
    targets,
    organisation,
    commands,
    objects,
    results,
    messages,
    configuration,
    entries,
    consensus_messages,
    stored,
    replica_messages,
    snapshots,
    clock,
    events,
    filters,
    timelines,
    queue_calls,
    queue_messages,
    enrolment,
    job_changes,
    job_stored,
)
