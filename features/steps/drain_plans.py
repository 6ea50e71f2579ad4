from unittest import mock

from behave import given, then, when

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
from tests.approved import approve
from tests.simulation.drain_plans import OutOfServiceTooSoon, Play


@then("in {count:d} plays of {seconds:d} s no desk that is there has work at a worker that is out")
def plays(context, count, seconds):
    made = [Play(seed).run(seconds) for seed in range(count)]
    assert min(sum(play.outs for play in made), sum(play.begun for play in made)) > 100 * count


def found(count, careless):
    for seed in range(count):
        try:
            Play(seed, careless).run(120)
        except OutOfServiceTooSoon:
            return True
    return False


@then("without each desk's word a worker is out too soon within {count:d} plays")
def word(context, count):
    assert found(count, "word")


@then("without the look at what is under way a worker is out too soon within {count:d} plays")
def work(context, count):
    assert found(count, "work")


@then("without the version that a step rests on a worker is out too soon within {count:d} plays")
def version(context, count):
    advance_plans, order = drain_progress.advance_plans, ["told", "closing", "closed", "out"]

    def unfenced(value, step_changes, plan_ends):
        """Every step to a later one is made, whatever version it rests on."""
        later = {
            instance_id: StepChange(step_changes[instance_id].step, drain.version)
            for instance_id, drain in worker_drains_of(value).items()
            if instance_id in step_changes
            and order.index(drain.step) < order.index(step_changes[instance_id].step)
        }
        return advance_plans(value, later, plan_ends)

    with mock.patch.object(drain_progress, "advance_plans", unfenced):
        assert found(count, "")


@given("a service of w1, w2 and w3")
def service(context):
    context.value, context.lines = {"n": 1, "s": {"s": {"0": ["w3", "", 0.0, 1, "", ""]}}}, []


def ask(context, name, instance_ids, staying):
    made, (status, reason) = start_plan(context.value, name, "s", instance_ids, 1, staying)
    context.value = made or context.value
    context.lines.append(f"{name} takes {', '.join(instance_ids)}: {status} {reason}")


@when("plan a takes w1 and w2, and plan b takes w2")
def overlap(context):
    ask(context, "a", ["w1", "w2"], 1)
    ask(context, "b", ["w2"], 1)


@when("plan c takes w3, plan a is asked for again, and another plan is called a")
def again(context):
    ask(context, "c", ["w3"], 0)
    ask(context, "a", ["w1", "w2"], 1)
    ask(context, "a", ["w1"], 2)
    ask(context, "d", [], 1)


@then('the plans are answered "{name}"')
def answered(context, name):
    approve(name, context.lines)


@when("plan a takes w1 and w2 while 5 of 6 slots are busy")
def busy(context):
    ask(context, "a", ["w1", "w2"], 1)


@then("after {first:d} s none of them closes, and after {last:d} s the plan is stopped: {why}")
def waits(context, first, last, why):
    registry, machine = WorkerRegistry(), DrainProgress(7.4)
    for name in ("w1", "w2", "w3"):
        registry.merge(0.0, name, WorkerRegistration("s", f"{name}:1", "z", 2, "ready", 1))
    room = {"s": ServiceCapacity(5.0, {"w1": 2.0, "w2": 2.0, "w3": 2.0})}
    for tenth in range(10 * last):
        machine.record_connected_proxies(tenth / 10, set())
        change = machine.next_change(tenth / 10, context.value, registry, room)
        if change is not None:
            context.value = change(context.value)[0] or context.value
        if tenth == 10 * first:
            assert set(drain_steps_of(context.value).values()) == {"told"}
    plan = plans_of(context.value)["a"]
    assert (plan.state, plan.reason) == ("stopped", why)


@then("w1 is in use")
def use(context):
    assert "w1" not in worker_drains_of(context.value)


def plan(context, step):
    context.load_balancer.take_table(
        {"n": context.load_balancer.table_n + 1, "base": 1, "d": {}, "w": {"w1": step}}
    )


@when("key 7's client began at w1, and a plan takes w1")
def began(context):
    context.load_balancer.pin(0.0, "s", "7", "w1", 2.0)
    plan(context, "told")


@then("its next step goes to w1 at {early:d} s, and elsewhere after {late:d} s")
def bound(context, early, late):
    assert context.load_balancer.pinned(early, "s", "7") == "w1"
    assert context.load_balancer.left(early)["w1"] == [0, 1, 0.0]
    assert context.load_balancer.pinned(late, "s", "7") is None and context.load_balancer.left(late) == {}


@then("of {count:d} effects none goes to w1 once it is in the plan, though it still gets lookups")
def effects(context, count):
    chosen = [context.load_balancer.choose(5.0, "s", None, f"e{i}", set()) for i in range(count)]
    assert "w1" not in chosen
    assert "w1" in [context.load_balancer.choose(5.0, "s", None, f"e{i}", set(), True) for i in range(count)]


@then("once it closes w1 gets nothing new")
def closes(context):
    plan(context, "closing")
    assert "w1" not in [
        context.load_balancer.choose(5.0, "s", None, f"e{i}", set(), True) for i in range(200)
    ]
