"""Durations of the simulation, in s."""

from bramblewood.common.timeouts import QUORUM_CONTACT_VALIDITY
from bramblewood.controller.quorum_io import AGREEMENT_TIMEOUT

STEP = 0.01  # increment of the simulated clock
TRANSIT_TIMES = (0.002, 0.02)  # minimum and maximum transit time of a message
SYNC_TIME = 0.004  # duration of a write to the disk
WORKER_HEARTBEAT, DRAIN_TIME = 1.5, 2.5  # heartbeat interval of workers; DrainS
TCP_USER_TIMEOUT = 1.0  # time for which a partition holds back bytes before it breaks the connection
CONNECTION_TIMEOUT = 1.2  # time without a received message after which a proxy closes a connection
REDIAL_DELAY = 0.3  # time from the end of a connection to the next dial
CALL_TIMEOUT = 1.0  # time after which a caller ignores the response
TIMER_SLACK = 0.1  # longest delay that a machine's timers may add to a response
MAX_CONTACT_AGE = QUORUM_CONTACT_VALIDITY + TIMER_SLACK  # maximum age of the contact of a current controller
# maximum age of the contact behind a response; at the start of the call's proposal it may be MAX_CONTACT_AGE
MAX_CONTACT_AGE_AT_RESPONSE = MAX_CONTACT_AGE + AGREEMENT_TIMEOUT
PROXY_CONTACT_WINDOW = 3.0  # ContactS
REPORT_INTERVAL = 0.5  # time between two load reports of a proxy
