"""The subscription to the worker list."""

from bramblewood import events

from .simulation import SimulatedSite, list_entry


def test_failed_list_requests_are_repeated_with_growing_backoff():
    site = SimulatedSite(must_request_list=True, max_list_request_interval=10.0)
    site.manager.worker_list.subscribed = False
    calls = []
    for _ in range(80):  # each call fails, and failures without a call arrive as well
        if any(isinstance(o, events.SubscribeWorkerList) for o in site.step(0.5, events.WorkerListFailed())):
            calls.append(site.now)
    gaps = [later - earlier for earlier, later in zip(calls, calls[1:], strict=False)]
    assert 5 <= len(calls) <= 20 and max(gaps) < 10.0 and gaps[-1] > gaps[0]
    repeated = [o for _ in range(24) for o in site.step(0.5) if isinstance(o, events.SubscribeWorkerList)]
    assert 2 <= len(repeated) <= 4  # without any response, the call is repeated after the timeout
    site.step(0.1, site.list_event([list_entry("w0")]))
    assert not any(isinstance(o, events.SubscribeWorkerList) for _ in range(20) for o in site.step(0.5))
