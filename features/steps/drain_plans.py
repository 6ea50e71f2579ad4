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
from tests.simulation.drain_plans import DrainPlanSimulation, OutOfServiceTooSoon

STEPS = [DRAIN_ANNOUNCED, DRAIN_IN_PROGRESS, DRAINED, OUT_OF_SERVICE]
DISCONNECT_TIMEOUT = 7.4  # s
SIMULATED_SECONDS = 120  # of a simulation with a missing guard


@then(
    "no connected proxy has work at a worker that is out of service in {count:d} simulations of {seconds:d} s"
)
def no_worker_is_out_of_service_too_soon(context, count, seconds):
    finished = [DrainPlanSimulation(seed).run(seconds) for seed in range(count)]
    assert (
        min(
            sum(simulation.out_of_service_count for simulation in finished),
            sum(simulation.request_count for simulation in finished),
        )
        > 100 * count
    )


def is_out_of_service_too_soon(count, missing_guard=""):
    """Whether a connected proxy has work at a worker that is out of service in one of `count` simulations."""
    for seed in range(count):
        try:
            DrainPlanSimulation(seed, missing_guard).run(SIMULATED_SECONDS)
        except OutOfServiceTooSoon:
            return True
    return False


@then(
    "without the confirmations of the proxies a worker is out of service too soon "
    "within {count:d} simulations"
)
def confirmation_is_needed(context, count):
    assert is_out_of_service_too_soon(count, "confirmation")


@then("without the check for work in flight a worker is out of service too soon within {count:d} simulations")
def check_for_work_in_flight_is_needed(context, count):
    assert is_out_of_service_too_soon(count, "work in flight")


@then(
    "without the check of a step's version a worker is out of service too soon within {count:d} simulations"
)
def version_check_is_needed(context, count):
    advance_plans = drain_progress.advance_plans

    def advance_without_version_check(value, step_changes, plan_ends):
        """Apply every change to a later step, whatever version it follows."""
        later_steps = {
            instance_id: StepChange(step_changes[instance_id].step, drain.version)
            for instance_id, drain in worker_drains_of(value).items()
            if instance_id in step_changes
            and STEPS.index(drain.step) < STEPS.index(step_changes[instance_id].step)
        }
        return advance_plans(value, later_steps, plan_ends)

    with mock.patch.object(drain_progress, "advance_plans", advance_without_version_check):
        assert is_out_of_service_too_soon(count)


@given("a service of w1, w2 and w3")
def service_of_three_workers(context):
    context.value, context.answers = {"n": 1, "s": {"s": {"0": ["w3", "", 0.0, 1, "", ""]}}}, []


def start_drain(context, name, instance_ids, remaining):
    changed, (status, text) = start_plan(context.value, name, "s", instance_ids, 1, remaining)
    context.value = changed or context.value
    context.answers.append(f"{name} drains {', '.join(instance_ids)}: {status} {text}")


@when("plan a drains w1 and w2, and plan b drains w2")
def start_overlapping_plans(context):
    start_drain(context, "a", ["w1", "w2"], 1)
    start_drain(context, "b", ["w2"], 1)


@when("plan c drains w3, plan a is started again, another plan a drains w1, and plan d drains no worker")
def start_invalid_plans(context):
    start_drain(context, "c", ["w3"], 0)
    start_drain(context, "a", ["w1", "w2"], 1)
    start_drain(context, "a", ["w1"], 2)
    start_drain(context, "d", [], 1)


@then('the answers to the plans are those of "{name}"')
def answers_are_approved(context, name):
    approve(name, context.answers)


@when("plan a drains w1 and w2 while 5 of 6 slots are busy")
def start_plan_under_load(context):
    start_drain(context, "a", ["w1", "w2"], 1)


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


@then("w1 stays in use")
def worker_stays_in_use(context):
    assert "w1" not in worker_drains_of(context.value)


def apply_step(context, step):
    """The proxy receives a table in which w1 has this step."""
    slices = context.load_balancer.slices
    slices.apply(TableUpdate(slices.version + 1, {}, base=slices.version, drain_steps={"w1": step}))


def choose_workers(context, count, idempotent):
    return [
        context.load_balancer.choose_worker(5.0, "s", None, f"e{i}", set(), idempotent) for i in range(count)
    ]


@when("key 7 is bound to w1, and a plan drains w1")
def key_is_bound(context):
    context.load_balancer.set_affinity(0.0, "s", "7", "w1", 2.0)
    apply_step(context, DRAIN_ANNOUNCED)


@then("key 7 is bound to w1 at {early:d} s, and no longer after {late:d} s")
def binding_expires(context, early, late):
    load_balancer = context.load_balancer
    assert load_balancer.affinity_worker(early, "s", "7") == "w1"
    assert remaining_work(load_balancer, early)["w1"] == [0, 1, 0.0]
    assert load_balancer.affinity_worker(late, "s", "7") is None
    assert remaining_work(load_balancer, late) == {}


@then("w1 is chosen for none of {count:d} non-idempotent requests, but for idempotent ones")
def w1_is_chosen_for_idempotent_requests(context, count):
    assert "w1" not in choose_workers(context, count, idempotent=False)
    assert "w1" in choose_workers(context, count, idempotent=True)


@then("w1 is chosen for no request once its drain is in progress")
def w1_is_not_chosen(context):
    apply_step(context, DRAIN_IN_PROGRESS)
    assert "w1" not in choose_workers(context, 200, idempotent=True)
