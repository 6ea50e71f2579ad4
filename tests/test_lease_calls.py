"""Guards against lease calls that continue after the controller has stopped."""

import asyncio
from types import SimpleNamespace

from bramblewood.controller.lease_calls import LeaseCalls


def lease_calls():
    return LeaseCalls(None, None, None, SimpleNamespace(registry=None), None, None, None)


def test_cancel_all_returns_after_all_calls_have_ended():
    events = []

    async def call():
        try:
            await asyncio.sleep(60.0)
        finally:
            await asyncio.sleep(0)
            events.append("ended")

    async def run():
        calls = lease_calls()
        calls.start(call())
        calls.start(call())
        await asyncio.sleep(0)
        await calls.cancel_all()
        events.append("cancelled")
        return calls.tasks

    assert asyncio.run(run()) == set()
    assert events == ["ended", "ended", "cancelled"]


def test_call_that_has_ended_is_removed_from_the_tasks():
    async def call():
        return None

    async def run():
        calls = lease_calls()
        calls.start(call())
        assert len(calls.tasks) == 1
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return calls.tasks

    assert asyncio.run(run()) == set()
