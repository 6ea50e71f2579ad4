"""Durations of the simulation, in s."""

from bramblewood.common.timeouts import QUORUM_CONTACT_VALIDITY
from bramblewood.controller.quorum_io import AGREEMENT_TIMEOUT

STEP = 0.01  # increment of the simulated clock
TRANSIT_TIMES = (0.002, 0.02)  # minimum and maximum transit time of a message
SYNC_TIME = 0.004  # until a write is on disk
WORKER_HEARTBEAT, DRAIN_TIME = 1.5, 2.5  # the heartbeat interval of workers, and DrainS
TCP_USER_TIMEOUT = 1.0  # for which a partition may hold back bytes until the connection breaks
CONNECTION_TIMEOUT = 1.2  # without a received message until a proxy closes a connection
REDIAL_DELAY = 0.3
CALL_TIMEOUT = 1.0  # until a caller ignores the response
TIMER_SLACK = 0.1  # by which a machine's timers may delay a response
MAX_CONTACT_AGE = QUORUM_CONTACT_VALIDITY + TIMER_SLACK  # of a contact that a current controller relies on
# of the contact behind a response: the contact may be at its maximum age when the call's proposal begins
MAX_CONTACT_AGE_AT_RESPONSE = MAX_CONTACT_AGE + AGREEMENT_TIMEOUT
PROXY_CONTACT_WINDOW = 3.0  # ContactS
REPORT_INTERVAL = 0.5  # between the load reports of a proxy
