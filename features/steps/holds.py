from behave import then

from tests.holds_play import Play, Twice


@then("{count:d} minutes of moves, cuts and lost calls never give a key two holders")
def never(context, count):
    moves = grants = 0
    for seed in range(count):
        play = Play(seed).run(60)
        moves, grants = moves + play.moves, grants + play.grants
    assert moves > 10 * count and grants > 10 * count, (moves, grants)


@then("{what} is found out within {count:d} minutes")
def found(context, what, count):
    careless = {"a grant without a word": "word", "a wait that is too short": "wait"}[what]
    for seed in range(count):
        try:
            Play(seed, careless).run(60)
        except Twice:
            return
    raise AssertionError("no minute found it")
