from behave import then

from tests.simulation.consensus import RuleViolation
from tests.simulation.membership_epoch_cases import CASES
from tests.simulation.membership_epoch_days import day
from tests.simulation.membership_epoch_guards import without_guard
from tests.simulation.membership_epoch_search import Search
from tests.simulation.membership_epoch_shapes import SHAPES

TRIED = 30  # of the last states of a search, for how many it is tried whether a majority answers in the end


@then('all {states:d} states or more of "{shape}" up to depth {depth:d} are sound')
def searched(context, states, shape, depth):
    found = Search(SHAPES[shape]).run(depth, tried=TRIED)
    assert not found.broken, (found.broken, found.moves)
    assert found.states >= states, found.states


@then('in {tried:d} of the last states of "{shape}" at depth {depth:d} a majority answers in the end')
def mended(context, tried, shape, depth):
    context.search = SHAPES[shape], depth, tried
    found = Search(SHAPES[shape]).run(depth, tried=tried)
    assert not found.broken, (found.broken, found.moves)


@then('without "{guard}" in one of them it does not')
def not_mended(context, guard):
    shape, depth, tried = context.search
    with without_guard(guard):
        found = Search(shape).run(depth, tried=tried)
    assert found.broken == "no majority answers", found.broken


@then('without "{guard}" something breaks within {states:d} states of "{shape}"')
def found_out(context, guard, states, shape):
    with without_guard(guard):
        found = Search(SHAPES[shape]).run(depth=12, most=states)
    assert found.broken and found.states <= states, found.states


@then("all directed plays keep what was acknowledged")
def directed(context):
    for play in CASES.values():
        play()


@then('without "{guard}" the play "{play}" breaks')
def broken(context, guard, play):
    with without_guard(guard):
        try:
            CASES[play]()
        except RuleViolation:
            return
    raise AssertionError("it does not break")


@then("in {count:d} days by dice everything acknowledged stays, and a majority answers")
def days(context, count):
    made = [day(seed) for seed in range(count)]
    assert sum(len(one.fleet.acknowledged) for one in made) > 40 * count, "hardly anything was acknowledged"
    assert sum(max(one.fleet.voter_sets) for one in made) > 2 * count, "hardly any set changed"


@then("in {count:d} days in which older disks come back too")
def older(context, count):
    made = [day(seed, older=10) for seed in range(count)]
    assert sum(one.counts.get("rollback", 0) for one in made) > count


@then('without "{guard}" something breaks within {count:d} days')
def dice(context, guard, count):
    for seed in range(count):
        try:
            day(seed, guard=guard)
        except RuleViolation:
            return
    raise AssertionError("no day found it")
