"""A sample of the kills; `python -m tests.kills --rounds 100` does many."""

from . import kills


def test_a_manager_killed_amid_releases_uses_no_drained_worker_and_repeats_no_further_try():
    wrong, orders = kills.run(3, seed=5)
    assert not wrong and orders > 20


def test_the_judge_sees_what_the_store_prevents():
    assert kills.run(2, seed=5, with_store=False)[0]
