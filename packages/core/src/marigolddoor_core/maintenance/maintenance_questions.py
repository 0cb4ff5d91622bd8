"""The questions that maintenance and roll-outs ask the operators."""

from marigolddoor_core.declaration.organisation import Job
from marigolddoor_core.ids import PoolId, VmId
from marigolddoor_core.questions.question_tracker import QuestionDraft
from marigolddoor_core.state.commands import Choice, Fact

__all__ = [
    "NOT_BACK",
    "ROLLOUT",
    "STUCK_DRAIN",
    "drain_stuck",
    "rollout_degradation",
    "vm_not_back",
]

NOT_BACK = "vm-not-back:"
ROLLOUT = "rollout:"
STUCK_DRAIN = "vm-not-drained:"

# Without an answer the VM is rebooted again after this time, because its pool lacks it meanwhile.
DEFAULT_REBOOT_AFTER_S = 1_800.0
DAY_S = 86_400.0


def vm_not_back(vm: VmId, pool: PoolId, waited_s: float, now_s: float) -> QuestionDraft:
    """Return the question about a VM that did not return to service after its reboot."""
    return QuestionDraft(
        f"{NOT_BACK}{vm}",
        f"VM {vm} did not come back from its reboot. What should happen?",
        (
            Fact(f"It was rebooted {waited_s:.0f} s ago.", now_s),
            Fact(f"It counts against the budget of pool {pool}.", now_s),
        ),
        (
            Choice("reboot", "The platform is asked to reboot it once more."),
            Choice("retire", "The VM is removed, and the pool lacks it until another joins."),
            Choice("wait", "The VM stays out of service until it comes back."),
        ),
        "reboot",
        DEFAULT_REBOOT_AFTER_S,
    )


def drain_stuck(
    vm: VmId, tasks: int, busy_slots: int, waited_s: float, now_s: float
) -> QuestionDraft:
    """Return the question about a VM whose drain does not end."""
    return QuestionDraft(
        f"{STUCK_DRAIN}{vm}",
        f"VM {vm} does not get free for its maintenance. Should the wave wait for it?",
        (
            Fact(f"It has been draining for {waited_s:.0f} s.", now_s),
            Fact(f"{tasks} tasks and {busy_slots} requests are left on it.", now_s),
        ),
        (
            Choice("wait", "The VM keeps draining and the wave waits."),
            Choice("stop-tasks", "The tasks left on the VM are stopped and placed elsewhere."),
        ),
        "wait",
        DAY_S,
    )


def rollout_degradation(
    subject: str, job: Job, degradation: str, previous: Job | None, now_s: float
) -> QuestionDraft:
    """Return the question about a roll-out that was stopped because of degradation.

    Going back is offered if the previous version of the job is known.
    """
    choices = [
        Choice("stop", "The roll-out stays where it is; old and new versions run side by side."),
        Choice("continue", "The roll-out continues despite the degradation."),
    ]
    if previous is not None:
        effect = f"A new revision declares version {previous.version} again and rolls it out."
        choices.append(Choice("go-back", effect))
    return QuestionDraft(
        subject,
        f"The roll-out of version {job.version} of job {job.id} was stopped. How should it go on?",
        (Fact(degradation, now_s),),
        tuple(choices),
        "stop",
        DAY_S,
    )
