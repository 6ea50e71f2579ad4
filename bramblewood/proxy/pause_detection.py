"""Detects that this process stood still, and that what it knows may be out of date since. No I/O.

A process stands still while it is frozen, while its machine gives it no processor time, or in a long task of
its own. When it goes on, requests on open connections may be read before the messages of controllers that
arrived meanwhile. Times are seconds of the loop's clock.
"""

CHECK_INTERVAL = 0.2  # s between two calls of `tick` while the process runs
MAX_PAUSE_FRACTION = 0.4  # of ConfigApplyS; the rest is left for a configuration to arrive
# s after a pause for which requests wait for a controller. One that is in touch answers in a few round trips.
CONFIRMATION_WAIT = 0.5


class PauseDetector:
    """Whether the configuration has to be confirmed by a controller before the next request is handled."""

    def __init__(self, configuration_apply_time: float) -> None:
        """configuration_apply_time: ConfigApplyS of the settings."""
        self._max_pause = MAX_PAUSE_FRACTION * configuration_apply_time
        self._last_tick_at: float | None = None
        self._unconfirmed_since: float | None = None
        self._required_version = 0  # of the configuration, as the newest confirmation said
        self._is_question_due = False

    def tick(self, now: float) -> None:
        """Record that the process runs."""
        self._detect(now)
        self._last_tick_at = now

    def _detect(self, now: float) -> None:
        if self._last_tick_at is not None and now - self._last_tick_at > self._max_pause:
            self._last_tick_at = self._unconfirmed_since = now
            self._required_version, self._is_question_due = 0, True

    def is_confirmation_pending(self, now: float) -> bool:
        """Return whether this process stood still, and no controller has answered since."""
        self._detect(now)
        return self._unconfirmed_since is not None

    def take_question(self) -> bool:
        """Return, once after each pause, that controllers should be asked which versions are the newest."""
        is_due, self._is_question_due = self._is_question_due, False
        return is_due

    def wait_until(self, now: float, configuration_version: int) -> float | None:
        """Return until when a request has to wait for a confirmation, or None if it has not.

        configuration_version: the version that this proxy has.
        """
        if self._unconfirmed_since is None:
            return None
        wait_until = self._unconfirmed_since + CONFIRMATION_WAIT
        is_confirmed = 0 < self._required_version <= configuration_version
        if is_confirmed or now >= wait_until:
            self._unconfirmed_since = None
            return None
        return wait_until

    def confirmation_received(self, requested_at: float, newest_version: int) -> None:
        """Record which version of the configuration is the newest, as a current controller answered."""
        if self._unconfirmed_since is not None and requested_at >= self._unconfirmed_since:
            self._required_version = max(newest_version, 1)
