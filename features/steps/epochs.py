from behave import then

from tests.epochs_play import without
from tests.epochs_search import SHAPES, Search

TRIED = 30  # of the last states of a search, for how many it is tried whether a majority answers in the end


@then('all {states:d} states or more of "{shape}" up to depth {depth:d} are sound')
def searched(context, states, shape, depth):
    found = Search(SHAPES[shape]).run(depth, tried=TRIED)
    assert not found.broken, (found.broken, found.moves)
    assert found.states >= states, found.states


@then('without "{guard}" something breaks within {states:d} states of "{shape}"')
def found_out(context, guard, states, shape):
    with without(guard):
        found = Search(SHAPES[shape]).run(depth=12, most=states)
    assert found.broken and found.states <= states, found.states
