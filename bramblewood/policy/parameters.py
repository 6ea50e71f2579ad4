"""Parameters of the placement policy, with unit, reason and source; times in s unless said otherwise."""

# The design's rule
REPORTS_AVERAGED = 5  # reports; the design page
REPORTS_HELD = 3  # reports in a row that both tests must hold; the design page
CAPACITY_LIMIT = 0.75  # share of capacity, the middle of the paper's 0.70-0.80
FLUCTUATION_BOUND = 1.4  # top load over bottom load, the middle of the paper's 1.3-1.5
SLOW_FACTOR = 1.5  # times the median response time, "half again slower"; the design page
TREND_BOUNDS = (0.5, 2.0)  # of the trend factor of heat; the design page
WORKING_POINT = 0.65  # share of capacity at which the paper's servers answer best; capacity is load over this
REST_TIMES = (5.0, 640.0)  # that a slice rests after its first ordinary move, doubled with each, and at most
MAX_MOVES_COUNTED = 16  # ordinary moves of a slice, far past its longest rest

# Reports and the worker list
REPORT_LAG = 2.0  # before a report shows a move: longest delay of a report and of an order, roughly
STALE_CYCLES = 3  # cycles, or intervals of a report, after which the last report no longer counts
MIN_ATTEMPTS = 4  # fewer attempts say nothing
MAX_LOAD_FACTOR = 2.0  # times the median load, the most that a report counts
QUEUE_WEIGHT = 0.1  # utilization that one queued invocation counts as; ten are a full worker more
FORGET_AFTER = 60  # cycles without a report after which a deregistered worker is forgotten
MIN_INTERVAL = 0.1  # that a report's counts are taken to span at least
LIST_TIMEOUT = 4.0  # without an answer before the list is asked for again; calls time out sooner
LIST_BACKOFF = 0.5  # before asking again after a failure, doubled with each
LONG_AGO = -1e9  # a start before any clock

# Admission control
STRAINED = 0.35  # response time over latency objective above which less is admitted
RELAXED = 0.25  # the same, below which levels rise; the gap keeps them from swinging
CUT_RANGE = (0.25, 0.9)  # least and most that one cut keeps; between, by share answered and response time
FLOOR = 0.1  # level below which the next operation is cut; a little shows how things stand
RAISE = 0.2  # share of an operation admitted again each cycle; five cycles from nothing to all
CUT_LAG = 3.0  # before a cut shows in reports: order, answer and report, each about one

# Ejection, failover and slow start
EJECTION_TIME = 6.0  # of a first ejection, doubled twice at the most: recovered workers are needed
MAX_EJECTIONS_COUNTED = 2  # ejections in a row that double the time
FAILING_SHARE = 0.5  # of attempts unanswered, at which a worker is ejected; noise stays far below
SPARE_LOAD = 0.5  # share of capacity that the median worker uses while it can take in what jams another
MOST_EJECTED = 0.45  # share of ready workers that may be ejected; more is a fault of the view
SURGE = 1.3  # latest heat over its average; below it growth is noise
WARMING_SHARE = 0.8  # share used of a warming worker's sure capacity; at all of it one fell over
SLICE_SPACING = 0.9  # cycles between slices given to a warming worker: one a cycle, whose turns vary
STANDBY_WEIGHT = 0.01  # weight of the standby route; enough to retry at, too little to be a move
OVERFLOW_WEIGHT = 0.4  # the same while the primary alone is strained; it costs key caches

# Publishing
TURN_INTERVAL = 0.5  # between publishing turns, so that ten turns take about the time of five reports
TURNS_TO_PUBLISH = 10  # turns in which all ordinary tables go out; the design page
WAITING_SHARE = 0.6  # share used of the lines that may wait; the rest is for what acknowledgements don't tell
MESSAGES_SHARE = 0.8  # share used of the messages allowed; the rest is for what still travels
ACK_TIMEOUT = 120.0  # after which an unacknowledged message no longer waits; channels were seen 40 s behind
MAX_EXCLUDED_ROUTES = 2  # routes to excluded workers left in an urgent table; more reach who joins
MAX_EXCLUDED = 1000  # excluded workers remembered; ids may come again long after, and for ever would grow
