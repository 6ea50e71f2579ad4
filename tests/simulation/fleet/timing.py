"""Times of the simulation, in s."""

from bramblewood.common.timeouts import QUORUM_CONTACT_VALIDITY
from bramblewood.controller.quorum_io import AGREEMENT_TIMEOUT

STEP = 0.01  # of the simulation's clock
TRANSIT_TIMES = (0.002, 0.02)  # that a message travels
SYNC_TIME = 0.004  # that a write takes
WORKER_HEARTBEAT, DRAIN_TIME = 1.5, 2.5
# that bytes may wait for a partition until their sender gives the connection up (TCP_USER_TIMEOUT)
CONNECTION_PATIENCE = 1.0
CONNECTION_TIMEOUT = 1.2  # after which a proxy gives a silent connection up
REDIAL_DELAY = 0.3
CALL_TIMEOUT = 1.0  # that a caller waits; it takes no later answer
TIMER_SLACK = 0.1  # that an answer of a machine may be late by its own timers
CONTACT_SLACK = QUORUM_CONTACT_VALIDITY + TIMER_SLACK
# after which a machine that is partitioned must have noticed: the contact it had, and a call's time
NOTICED_AFTER = CONTACT_SLACK + AGREEMENT_TIMEOUT
PROXY_CONTACT = 3.0  # ContactS
REPORT_INTERVAL = 0.5  # of a proxy
