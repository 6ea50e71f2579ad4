"""Figures of the design that several parts use, and what all parts share: an inbox and plain sums."""

import math
from collections import deque

REPORTS = 5          # reports averaged; the design page
HELD = 3             # reports in a row that both tests must hold; the design page
LIMIT = 0.75         # share of capacity, the middle of the paper's 0.70-0.80
SLOW = 1.5           # times the median answer time, "half again slower"; the design page
TURN = 0.5           # s between turns of publishing, so that ten turns take about the five reports' time
UNSEEN = 2.0         # s before a report shows a move: longest delay of a report and of an order, roughly
STALE = 3            # cycles, or spans of a sum, without a report after which the last one no longer counts
FEW = 4              # tries, fewer say nothing
JAMMED = 2.0         # times the usual load level, the most that a report counts
STRAINED = 0.35      # answer time over latency objective above which less is let in
LONG_AGO = -1e9      # s, a start before any clock


def usual(values):
    ranked = sorted(values)
    return ranked[len(ranked) // 2] if ranked else 0.0


def mean(values):
    return sum(values) / len(values) if values else 0.0


def sound(*figures):  # usable in a report: finite and not negative
    return all(isinstance(f, (int, float)) and math.isfinite(f) and f >= 0 for f in figures)


class Part:
    """A small actor: notes go into its inbox, and the manager's loop hands it one at a time."""

    def __init__(self, manager):
        self.manager, self.inbox = manager, deque()

    def tell(self, note, *what):
        self.inbox.append((note, what))
        self.manager.post.append(self)
