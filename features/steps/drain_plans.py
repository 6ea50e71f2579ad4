from unittest import mock

from behave import given, then, when

from bramblewood.common.messages import TableUpdate
from bramblewood.common.slice_table import (
    DRAIN_ANNOUNCED,
    DRAIN_IN_PROGRESS,
    DRAINED,
    OUT_OF_SERVICE,
)
from bramblewood.common.worker_registry import WorkerRegistration, WorkerRegistry
from bramblewood.controller import drain_progress
from bramblewood.controller.drain_plans import (
    StepChange,
    drain_steps_of,
    plans_of,
    start_plan,
    worker_drains_of,
)
from bramblewood.controller.drain_progress import DrainProgress, ServiceCapacity
from bramblewood.proxy.load_report import remaining_work
from tests.approved import approve
from tests.simulation.drain_plans import OutOfServiceTooSoon, Play

STEPS = [DRAIN_ANNOUNCED, DRAIN_IN_PROGRESS, DRAINED, OUT_OF_SERVICE]
DISCONNECT_TIMEOUT = 7.4  # s
SECONDS = 120  # of a play in which a guard is taken out


@then("in {count:d} plays of {seconds:d} s no connected proxy has work at a worker that is out of service")
def no_worker_is_out_too_soon(context, count, seconds):
    plays = [Play(seed).run(seconds) for seed in range(count)]
    assert min(sum(play.out_of_service for play in plays), sum(play.requests for play in plays)) > 100 * count


def is_found_out(count, missing_guard=""):
    """Whether one of so many plays finds a worker out of service too soon."""
    for seed in range(count):
        try:
            Play(seed, missing_guard).run(SECONDS)
        except OutOfServiceTooSoon:
            return True
    return False


@then("without each proxy's confirmation a worker is out of service too soon within {count:d} plays")
def confirmation_is_needed(context, count):
    assert is_found_out(count, "confirmation")


@then("without the check for work in flight a worker is out of service too soon within {count:d} plays")
def check_for_work_is_needed(context, count):
    assert is_found_out(count, "work in flight")


@then("without the version that a step rests on a worker is out of service too soon within {count:d} plays")
def version_is_needed(context, count):
    advance_plans = drain_progress.advance_plans

    def advance_unfenced(value, step_changes, plan_ends):
        """Every step to a later one is made, whatever version it rests on."""
        later = {
            instance_id: StepChange(step_changes[instance_id].step, drain.version)
            for instance_id, drain in worker_drains_of(value).items()
            if instance_id in step_changes
            and STEPS.index(drain.step) < STEPS.index(step_changes[instance_id].step)
        }
        return advance_plans(value, later, plan_ends)

    with mock.patch.object(drain_progress, "advance_plans", advance_unfenced):
        assert is_found_out(count)


@given("a service of w1, w2 and w3")
def service(context):
    context.value, context.answers = {"n": 1, "s": {"s": {"0": ["w3", "", 0.0, 1, "", ""]}}}, []


def start(context, name, instance_ids, remaining):
    changed, (status, reason) = start_plan(context.value, name, "s", instance_ids, 1, remaining)
    context.value = changed or context.value
    context.answers.append(f"{name} takes {', '.join(instance_ids)}: {status} {reason}")


@when("plan a takes w1 and w2, and plan b takes w2")
def start_overlapping_plans(context):
    start(context, "a", ["w1", "w2"], 1)
    start(context, "b", ["w2"], 1)


@when("plan c takes w3, plan a is asked for again, and another plan is called a")
def start_impossible_plans(context):
    start(context, "c", ["w3"], 0)
    start(context, "a", ["w1", "w2"], 1)
    start(context, "a", ["w1"], 2)
    start(context, "d", [], 1)


@then('the plans are answered "{name}"')
def plans_are_answered(context, name):
    approve(name, context.answers)


@when("plan a takes w1 and w2 while 5 of 6 slots are busy")
def start_plan_under_load(context):
    start(context, "a", ["w1", "w2"], 1)


@then("after {first:d} s no drain has begun, and after {last:d} s the plan is stopped: {reason}")
def plan_waits_and_stops(context, first, last, reason):
    registry, progress = WorkerRegistry(), DrainProgress(DISCONNECT_TIMEOUT)
    for name in ("w1", "w2", "w3"):
        registry.record(0.0, name, WorkerRegistration("s", f"{name}:1", "z", 2, "ready", 1))
    capacities = {"s": ServiceCapacity(5.0, {"w1": 2.0, "w2": 2.0, "w3": 2.0})}
    for tenth in range(10 * last):
        progress.record_connected_proxies(tenth / 10, set())
        change = progress.next_change(tenth / 10, context.value, registry, capacities)
        if change is not None:
            context.value = change(context.value)[0] or context.value
        if tenth == 10 * first:
            assert set(drain_steps_of(context.value).values()) == {DRAIN_ANNOUNCED}
    plan = plans_of(context.value)["a"]
    assert (plan.state, plan.reason) == ("stopped", reason)


@then("w1 is in use")
def worker_is_in_use(context):
    assert "w1" not in worker_drains_of(context.value)


def apply_step(context, step):
    """The proxy hears of a table in which w1 has this step."""
    slices = context.load_balancer.slices
    slices.apply(TableUpdate(slices.version + 1, {}, base=slices.version, leaving={"w1": step}))


def choose_workers(context, count, idempotent):
    return [
        context.load_balancer.choose_worker(5.0, "s", None, f"e{i}", set(), idempotent) for i in range(count)
    ]


@when("key 7's client began at w1, and a plan takes w1")
def client_began(context):
    context.load_balancer.set_affinity(0.0, "s", "7", "w1", 2.0)
    apply_step(context, DRAIN_ANNOUNCED)


@then("its next step goes to w1 at {early:d} s, and elsewhere after {late:d} s")
def affinity_ends(context, early, late):
    load_balancer = context.load_balancer
    assert load_balancer.affinity_worker(early, "s", "7") == "w1"
    assert remaining_work(load_balancer, early)["w1"] == [0, 1, 0.0]
    assert load_balancer.affinity_worker(late, "s", "7") is None
    assert remaining_work(load_balancer, late) == {}


@then("of {count:d} effects none goes to w1 once it is in the plan, though it still gets lookups")
def effects_go_elsewhere(context, count):
    assert "w1" not in choose_workers(context, count, idempotent=False)
    assert "w1" in choose_workers(context, count, idempotent=True)


@then("once its drain has begun w1 gets nothing new")
def nothing_new(context):
    apply_step(context, DRAIN_IN_PROGRESS)
    assert "w1" not in choose_workers(context, 200, idempotent=True)
