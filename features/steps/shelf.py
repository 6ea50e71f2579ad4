from behave import then

from tests.shelf_play import Broken, play


@then("{count:d} disks lose nothing that was acknowledged over power cuts, torn writes and refusals")
def disks(context, count):
    kept = sum(play(seed) for seed in range(count))
    assert kept > 10 * count, "hardly anything was acknowledged: the cuts prove nothing"


@then("without the sync of the folder {count:d} disks lose something")
def careless(context, count):
    for seed in range(count):
        try:
            play(seed, modes="full")
        except Broken:
            return
    raise AssertionError("no disk lost anything")
