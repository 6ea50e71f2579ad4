"""Steps for the scripted cases, the random runs and the exhaustive search of voter set changes."""

from behave import then

from tests.simulation.consensus import RuleViolation
from tests.simulation.membership_epoch_cases import CASES
from tests.simulation.membership_epoch_days import day
from tests.simulation.membership_epoch_guards import without_guard
from tests.simulation.membership_epoch_search import Search
from tests.simulation.membership_epoch_shapes import SHAPES

RECOVERY_SAMPLES = 30  # number of states at the last depth of a search from which recovery is checked


@then('the search of "{shape}" to depth {depth:d} visits at least {states:d} states, and none breaks a rule')
def search_breaks_no_rule(context, states, shape, depth):
    result = Search(SHAPES[shape]).run(depth, recovery_samples=RECOVERY_SAMPLES)
    assert not result.violation, (result.violation, result.moves)
    assert result.states >= states, result.states


@then('from {samples:d} states of "{shape}" at depth {depth:d}, a majority answers in the end')
def majority_answers_in_the_end(context, samples, shape, depth):
    context.search = SHAPES[shape], depth, samples
    result = Search(SHAPES[shape]).run(depth, recovery_samples=samples)
    assert not result.violation, (result.violation, result.moves)


@then('without the guard "{guard}", no majority answers from one of them')
def no_majority_answers_in_one(context, guard):
    shape, depth, samples = context.search
    with without_guard(guard):
        result = Search(shape).run(depth, recovery_samples=samples)
    assert result.violation == "no majority answers", result.violation


@then('without the guard "{guard}", one of the first {states:d} states of "{shape}" breaks a rule')
def search_detects_missing_guard(context, guard, states, shape):
    with without_guard(guard):
        result = Search(SHAPES[shape]).run(depth=12, max_states=states)
    assert result.violation and result.states <= states, result.states


@then("no scripted case breaks a rule")
def no_case_breaks_a_rule(context):
    for run_case in CASES.values():
        run_case()


@then('without the guard "{guard}", the case "{case}" breaks a rule')
def case_detects_missing_guard(context, guard, case):
    with without_guard(guard):
        try:
            CASES[case]()
        except RuleViolation:
            return
    raise AssertionError("the case breaks no rule without the guard")


@then("in {count:d} random runs no acknowledged configuration is lost, and a majority answers")
def random_runs_lose_nothing(context, count):
    runs = [day(seed) for seed in range(count)]
    assert sum(len(run.fleet.acknowledged) for run in runs) > 40 * count, (
        "too few acknowledged configurations"
    )
    assert sum(max(run.fleet.voter_sets) for run in runs) > 2 * count, "too few changes of the voter set"


@then("the same holds in {count:d} random runs with disk rollbacks")
def random_runs_with_rollbacks_lose_nothing(context, count):
    runs = [day(seed, older=10) for seed in range(count)]
    assert sum(run.counts.get("rollback", 0) for run in runs) > count


@then('without the guard "{guard}", one of {count:d} random runs breaks a rule')
def random_runs_detect_missing_guard(context, guard, count):
    for seed in range(count):
        try:
            day(seed, guard=guard)
        except RuleViolation:
            return
    raise AssertionError("no random run breaks a rule without the guard")
