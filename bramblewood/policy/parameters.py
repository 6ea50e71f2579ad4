"""Parameters of the placement policy, each with its unit, reason and source. Times are in s by default."""

# Ordinary moves, which balance the load; urgent moves replace unusable workers
REPORTS_AVERAGED = 5  # reports; source: docs/design.md
REPORTS_NEEDED = 3  # consecutive reports that must confirm an overload; source: docs/design.md
CAPACITY_LIMIT = 0.75  # share of capacity above which a worker is overloaded; middle of the paper's 0.70-0.80
FLUCTUATION_BOUND = 1.4  # highest over lowest load, above which slices move; middle of the paper's 1.3-1.5
SLOW_FACTOR = 1.5  # times the median response time, or the latency objective; source: docs/design.md
TREND_BOUNDS = (0.5, 2.0)  # bounds of the ratio of a heat to the one before; source: docs/design.md
WORKING_POINT = 0.65  # share of capacity where the paper's servers respond best; capacity is load over this
COOLDOWN_BOUNDS = (5.0, 640.0)  # pause after a slice's first ordinary move, doubled by each next one; maximum
MAX_MOVES_COUNTED = 16  # ordinary moves of one slice; its cooldown reaches the maximum long before

# Reports and the worker list
REPORT_LAG = 2.0  # until reports show a move: about the longest delay of an order and a report together
STALE_CYCLES = 3  # cycles, or intervals of a report, after which the last report no longer counts
MIN_ATTEMPTS = 4  # attempts; fewer are too few to judge a worker by
MAX_LOAD_FACTOR = 2.0  # multiple of the median load to which a reported load is limited
QUEUE_WEIGHT = 0.1  # utilization per queued invocation: ten count as much as one fully used worker
FORGET_AFTER = 60  # cycles without a report after which a deregistered worker is removed
MIN_INTERVAL = 0.1  # minimum time span assumed for the counts of a report
LIST_TIMEOUT = 4.0  # wait for a worker list before the call is repeated; the call itself times out sooner
LIST_BACKOFF = 0.5  # base of the backoff between calls for the worker list, doubled at each failure
LONG_AGO = -1e9  # unix time before every real event

# Admission control
CUT_LATENCY_RATIO = 0.35  # response time over latency objective above which admission is cut
RAISE_LATENCY_RATIO = 0.25  # the same ratio, below which levels rise; the gap prevents oscillation
CUT_FACTOR_BOUNDS = (0.25, 0.9)  # bounds of the factor by which one cut multiplies a level
MIN_LEVEL = 0.1  # lowest level, which leaves requests that measure the worker; the next operation is cut then
LEVEL_STEP = 0.2  # minimum rise of a level per cycle; five cycles restore it from 0 to 1
CUT_LAG = 3.0  # until reports show a cut: order, response and report take about 1 s each

# Ejection, failover and slow start
EJECTION_TIME = 6.0  # first ejection; it doubles at most twice, because recovered workers are needed
MAX_EJECTIONS_COUNTED = 2  # consecutive ejections that double the time
UNANSWERED_LIMIT = 0.5  # unanswered share above the median share, to eject a worker; noise stays far below
SPARE_LOAD = 0.5  # median share of capacity in use, below which others can take a saturated worker's slices
MAX_EJECTED_SHARE = 0.45  # share of ready workers; more failures at once point to a faulty observer
SURGE_FACTOR = 1.3  # latest heat over average heat, above which it is a surge; lower values are noise
SLOW_START_SHARE = 0.8  # usable share of a warming worker's safe capacity; at all of it, one was overloaded
SLOW_START_SPACING = 0.9  # cycles between slices that move to a warming worker; below 1 because turns jitter
STANDBY_WEIGHT = 0.01  # weight of a standby route: enough for retries, too low to shift load
OVERFLOW_WEIGHT = 0.4  # weight of a standby route while the primary is overloaded; it costs cache hits

# Publishing
TURN_INTERVAL = 0.5  # between publishing turns; ten turns take as long as five reports
TURNS_TO_PUBLISH = 10  # turns within which all ordinary tables are sent; source: docs/design.md
WAITING_SHARE = 0.6  # usable share of max_waiting_lines; the rest is for lines that no acknowledgement shows
MESSAGES_SHARE = 0.8  # usable share of the allowed messages; the rest covers messages in flight
ACK_TIMEOUT = 120.0  # after which an acknowledgement is given up; channels can lag by 40 s
MAX_EXCLUDED_ROUTES = 2  # routes to excluded workers that an urgent table keeps; new proxies receive them too
MAX_EXCLUDED = 1000  # excluded workers remembered; an old id may return, but memory is bounded
