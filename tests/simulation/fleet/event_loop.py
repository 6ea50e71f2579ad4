"""An event loop on the simulation's clock."""

import asyncio
import types


class SimulationLoop(asyncio.BaseEventLoop):
    """Runs what is due at the moment; it stands still while its machine is frozen."""

    def __init__(self, fleet):
        self.fleet = fleet
        super().__init__()
        self._selector = types.SimpleNamespace(select=lambda timeout: [], close=lambda: None)
        self.set_exception_handler(self.record_error)
        self.running_tasks, self.should_stop = set(), None

    def time(self):
        return self.fleet.now

    def _process_events(self, events):
        pass

    def _write_to_self(self):
        pass

    def record_error(self, loop, context):
        if "exception" in context:  # else a task ended with its machine
            self.fleet.errors.append(context["exception"])

    def start(self, coroutine):
        """A task whose error ends the simulation."""

        def finished(task):
            self.running_tasks.discard(task)
            if not task.cancelled() and task.exception() is not None:
                self.fleet.errors.append(task.exception())

        task = self.create_task(coroutine)
        self.running_tasks.add(task)
        task.add_done_callback(finished)

    def has_due(self):
        ready, scheduled = self._ready, self._scheduled  # type: ignore[attr-defined]
        return ready or scheduled and scheduled[0].when() <= self.time()

    def run_due(self):
        """All that is due now."""
        asyncio._set_running_loop(self)
        try:
            while self.has_due():
                self._run_once()  # type: ignore[attr-defined]  # asyncio's own, missing in its stubs
                if self.should_stop is not None and self.should_stop():  # frozen amid a turn
                    return
        finally:
            asyncio._set_running_loop(None)
