"""The subscription to the worker list."""

from bramblewood import events

from .simulation import SimulatedSite, entry


def test_a_list_is_requested_again_without_flooding():
    site = SimulatedSite(must_request_list=True, max_list_request_interval=10.0)
    site.manager.worker_list.subscribed = False
    calls = []
    for _ in range(80):  # each call fails, and failures of no call of ours come as well
        if any(isinstance(o, events.WatchWorkerList) for o in site.step(0.5, events.WorkerListFailed())):
            calls.append(site.now)
    gaps = [later - at for at, later in zip(calls, calls[1:], strict=False)]
    assert 5 <= len(calls) <= 20 and max(gaps) < 10.0 and gaps[-1] > gaps[0]
    silent = [o for _ in range(24) for o in site.step(0.5) if isinstance(o, events.WatchWorkerList)]
    assert 2 <= len(silent) <= 4  # no answer at all: again after some patience
    site.step(0.1, site.list_event([entry("w0")]))
    assert not any(isinstance(o, events.WatchWorkerList) for _ in range(20) for o in site.step(0.5))
