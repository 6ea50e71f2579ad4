from behave import given, then, when

from tests.shelf_play import PROMISE, Broken, Hanging, play


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


@given("an archive whose disc hangs as it syncs")
def hangs(context):
    context.play = Hanging()
    context.add_cleanup(context.play.end)


@when("it is to promise a ballot at {now:g}")
def promise(context, now):
    context.play.promise(now)


@then("nothing of it goes out, and at {soon:g} it may act for the core, at {late:g} not")
def held(context, soon, late):
    assert not context.play.sent
    assert context.play.archive.whole(soon) and not context.play.archive.whole(late)


@when("the disc answers again")
def answers(context):
    context.play.answer()


@then("the promise goes out, lies there after a power cut, and the archive may act again")
def goes(context):
    assert context.play.sent == [("b", PROMISE)] and context.play.archive.whole(20.0)
    assert context.play.after_power_cut()["config"][0] == (1, 7, "b", 1)


@when("the power is cut")
def cut(context):
    context.play.disc.cut_at = context.play.disc.calls - 1


@then("nothing of it went out, and what lay there before lies there still")
def nothing(context):
    context.play.answer()
    assert not context.play.sent
    promised, accepted, value = context.play.after_power_cut()["config"]
    assert (accepted, value) == ((1, 3, "a", 1), {"n": 1})
    assert promised in (accepted, (1, 7, "b", 1))  # a promise that nobody was told of may be there or not
