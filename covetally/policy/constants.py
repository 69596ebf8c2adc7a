"""Constants that several modules of this package share."""

from __future__ import annotations

from covetally.interface import AttemptStatus

OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, NOT_SENT, UNUSABLE_RESPONSE = AttemptStatus
# Upper bound of a server's budget in calls, and of its concurrency steps: A105's default for
# max_connections_per_subchannel.
MAX_STEPS = 10
GAIN = 0.3  # weight of a new observation in a moving average
RETRY_RATIO = 0.2  # retries earned by one request
# A server with a failure average up to this is taken to have failed once by chance, if all others are well.
ISOLATED_FAILURE_RATIO = 0.4
# Traffic is high above this number of recent requests per server, counted over four times the longest deadline.
HIGH_TRAFFIC_REQUESTS = 32
SAFE_TIME_RATIO = 0.6  # a call is always sent if its expected time is at most this share of the time left
TIME_RATIO_BOUNDS = (0.75, 0.9, 1.05, 1.25, 1.6)  # bucket bounds of expected time over time left
SILENT_ZONE_CALLS = 3  # this many unanswered calls show a silent zone, if other zones answer
