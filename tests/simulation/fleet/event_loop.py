"""An asyncio event loop that uses the simulated clock."""

import asyncio
import types


class SimulationLoop(asyncio.BaseEventLoop):
    """Runs due callbacks when the simulation calls `run_due_callbacks`, and stops when its machine freezes.

    The first error in a callback or a task is collected in `fleet.errors`, which ends the simulation.
    """

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
        if "exception" in context:  # without one, a task was destroyed together with its machine
            self.fleet.errors.append(context["exception"])

    def start(self, coroutine):
        """Start a task whose error ends the simulation."""

        def handle_task_end(task):
            self.running_tasks.discard(task)
            if not task.cancelled() and task.exception() is not None:
                self.fleet.errors.append(task.exception())

        task = self.create_task(coroutine)
        self.running_tasks.add(task)
        task.add_done_callback(handle_task_end)

    def has_due_callbacks(self):
        ready, scheduled = self._ready, self._scheduled  # type: ignore[attr-defined]
        return ready or scheduled and scheduled[0].when() <= self.time()

    def run_due_callbacks(self):
        """Run all callbacks that are due, unless `should_stop` interrupts the run."""
        asyncio._set_running_loop(self)
        try:
            while self.has_due_callbacks():
                self._run_once()  # type: ignore[attr-defined]  # private to asyncio, missing in its stubs
                if self.should_stop is not None and self.should_stop():  # frozen between two callbacks
                    return
        finally:
            asyncio._set_running_loop(None)
