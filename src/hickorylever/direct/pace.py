"""Estimates of what work takes at an endpoint, from what its responses show.

This handles machines that differ, and machines that slow down for a time because others share
them. What belongs to the model and the hardware (prompt tokens a second, the delay of the first
event, the time of a step, the service time) is estimated once for all endpoints of a service, as
a router alone sees one endpoint only every few seconds. What belongs to one machine at one moment
is the pace that its responses state, which counts less as it ages, and a correction by what its
responses take. Times are monotonic seconds.
"""

import math
from dataclasses import dataclass, field

from .capacity import PREFILL_TOKENS_PER_SECOND, SLOT_SECONDS, Estimate

FIRST_DELAY_SECONDS = 0.03  # Assumed before the first samples.
STEP_SECONDS = 0.005  # Of an engine without requests, assumed before the first samples.
STEP_SECONDS_PER_REQUEST = 0.0001  # Assumed before the first samples.
PACE_HALF_LIFE_SECONDS = 0.4  # Of a stated pace, assumed before the first samples.
MIN_HALF_LIFE_SECONDS = 0.02
MAX_HALF_LIFE_SECONDS = 2.0
# Bounds of the time between two statements from which the half-life is estimated.
MIN_STATEMENT_GAP_SECONDS = 0.02
MAX_STATEMENT_GAP_SECONDS = 0.6
ASSUMED_GAP_SECONDS = 0.3  # Between the statements of the assumed first sample.
CORRECTION_HALF_LIFE_SECONDS = 60.0  # After it, an endpoint that was slow is tried again.
MIN_PACE = 0.2  # Lower figures, and those above `MAX_PACE`, are faults of the endpoint.
MAX_PACE = 10.0
MEAN_WEIGHT = 0.05  # Of a sample in a moving average; more for the first samples.
CORRECTION_WEIGHT = 0.25  # Of a response in an endpoint's correction.
MAX_CORRECTION_STEP = 1.5  # Logarithm; limits the effect of a single response.
TRUST_WEIGHT = 0.2  # Of a response in the trust in an endpoint's stated pace.
NOTABLE_DEVIATION = 0.3  # Logarithm, from which a stated pace can be told from the usual one.
FORGETTING = 0.995  # Weight of a sample of a service after the next one.
PRIOR_WEIGHT = 1.0  # Of the assumptions, in samples.
OUTLIER_SCALES = 3.0  # Residual, in mean residuals, at which a sample counts half.
FIRST_SCALE = 1.0  # Mean residual before the first samples, relative to the expected time.
MIN_SCALE = 0.2  # Else short prompts, whose times differ little, would make long ones outliers.
CERTAIN_TOKENS = 200.0  # So few unread tokens of other requests hardly change the expected time.
MIN_SECONDS = 0.001  # Avoids division by zero.
SCALE_WEIGHT = 0.05  # Of a sample in the mean residual.
CONFIDENT_SAMPLES = 5.0  # Samples at which the confidence is a half.
ESTIMATE_REFRESH_SECONDS = 0.02  # Estimates are cached, as each placement reads all of them.


class LinearFit:
    """Estimates y = intercept + slope * x; outliers and old samples count less.

    :param intercept: assumed before the first samples, in seconds.
    :param slope: assumed before the first samples, in seconds for a unit of x.
    :param reach: typical x, for which the assumptions count as a sample.
    """

    def __init__(self, intercept: float, slope: float, reach: float):
        self.intercept = intercept
        self.slope = slope
        self.slope_limits = slope / 32.0, slope * 8.0
        assumed = intercept + slope * reach
        self.prior = tuple(
            PRIOR_WEIGHT * value
            for value in (2.0, reach, reach * reach, intercept + assumed, reach * assumed)
        )
        self.sums = (0.0,) * len(self.prior)
        self.scale = FIRST_SCALE

    @property
    def samples(self) -> float:
        """Return the weight of the samples."""
        return self.sums[0]

    def predict(self, x: float) -> float:
        """Return the expected y."""
        return self.intercept + self.slope * x

    def add(self, x: float, y: float, certainty: float = 1.0) -> None:
        """Add a sample.

        :param certainty: 0 to 1, of x.
        """
        expected = max(MIN_SECONDS, self.predict(x))
        residual = abs(y - expected) / expected
        weight = certainty / (1.0 + (residual / (OUTLIER_SCALES * self.scale)) ** 2)
        bounded = min(residual, OUTLIER_SCALES * self.scale)
        self.scale = max(MIN_SCALE, self.scale + SCALE_WEIGHT * (bounded - self.scale))
        sample = 1.0, x, x * x, y, x * y
        self.sums = tuple(
            FORGETTING * total + weight * value
            for total, value in zip(self.sums, sample, strict=True)
        )
        self.solve()

    def solve(self) -> None:
        """Compute the intercept and the slope of the least squares."""
        n, sum_x, sum_xx, sum_y, sum_xy = map(sum, zip(self.prior, self.sums, strict=True))
        spread = n * sum_xx - sum_x * sum_x
        low, high = self.slope_limits
        self.slope = min(high, max(low, (n * sum_xy - sum_x * sum_y) / spread))
        self.intercept = max(0.0, (sum_y - self.slope * sum_x) / n)


class Average:
    """Moving average of seconds in which an outlier counts for at most twice the average."""

    def __init__(self, assumed: float = 0.0):
        self.seconds = assumed
        self.samples = 0

    def add(self, seconds: float) -> None:
        """Add a sample."""
        self.samples += 1
        if self.samples > 1:
            seconds = min(seconds, 2.0 * self.seconds)
        self.seconds += max(MEAN_WEIGHT, 1.0 / self.samples) * (seconds - self.seconds)


class Persistence:
    """Estimates how long a stated pace lasts, from the autocorrelation of successive statements.

    :ivar half_life: seconds after which half of a deviation from the mean is left.
    :ivar squares: weighted sum of the squares of the earlier deviations.
    :ivar products: weighted sum of the products of the earlier and the later deviations.
    :ivar gaps: weighted sum of the seconds between them.
    """

    def __init__(self):
        self.half_life = PACE_HALF_LIFE_SECONDS
        self.squares = 1.0
        self.products = 0.5 ** (ASSUMED_GAP_SECONDS / PACE_HALF_LIFE_SECONDS)
        self.gaps = ASSUMED_GAP_SECONDS

    def add(self, first: float, second: float, gap: float) -> None:
        """Add two statements of an endpoint.

        :param first: deviation of the first from the mean.
        :param gap: seconds between them.
        """
        if not MIN_STATEMENT_GAP_SECONDS <= gap <= MAX_STATEMENT_GAP_SECONDS:
            return
        square = first * first
        self.squares = FORGETTING * self.squares + square
        self.products = FORGETTING * self.products + first * second
        self.gaps = FORGETTING * self.gaps + square * gap
        left = self.products / self.squares
        gap = self.gaps / self.squares
        half_life = MIN_HALF_LIFE_SECONDS
        if left > 0.0:
            half_life = MAX_HALF_LIFE_SECONDS
            if left < 1.0:
                half_life = min(half_life, gap * math.log(0.5) / math.log(left))
        self.half_life = max(MIN_HALF_LIFE_SECONDS, half_life)


@dataclass(slots=True)
class ServiceRates:
    """What work takes at the endpoints of a service whose machines work as usual.

    :param first_event: seconds to the first event by prompt tokens to read before it.
    :param step: seconds of an engine's step by running requests.
    :param slot: time for which a request occupies a slot.
    :param plain: service time of plain requests.
    :param persistence: how long a stated pace lasts.
    """

    first_event: LinearFit = field(
        default_factory=lambda: LinearFit(
            FIRST_DELAY_SECONDS, 1.0 / PREFILL_TOKENS_PER_SECOND, 10_000.0
        )
    )
    step: LinearFit = field(
        default_factory=lambda: LinearFit(STEP_SECONDS, STEP_SECONDS_PER_REQUEST, 32.0)
    )
    slot: Average = field(default_factory=lambda: Average(SLOT_SECONDS))
    plain: Average = field(default_factory=Average)
    persistence: Persistence = field(default_factory=Persistence)


@dataclass(frozen=True, slots=True)
class FirstEventSample:
    """A request, and what the router knew of its endpoint when it was sent.

    :param sent_at: monotonic seconds at which it was sent.
    :param tokens: prompt tokens that the endpoint had to read, the request's own with the others.
    :param own_tokens: the request's own part of `tokens`.
    :param queued: whether the request had to wait for a slot.
    :param expected: expected seconds to the first event.
    """

    sent_at: float
    tokens: float
    own_tokens: float
    queued: bool
    expected: float

    @property
    def certainty(self) -> float:
        """Return how well `tokens` is known, 0 to 1.

        Others' prompts count as unread until their first event although they are partly read, and
        what other routers sent just now is missing.
        """
        own = self.own_tokens + CERTAIN_TOKENS
        return (own / (max(0.0, self.tokens - self.own_tokens) + own)) ** 2


@dataclass(slots=True)
class EndpointPace:
    """How long work takes at one endpoint, relative to its service.

    :param rates: those of its service.
    :param stated: latest stated pace, as a multiple of the usual time.
    :param stated_at: when it held.
    :param statements: number of its own statements that this router saw.
    :param mean: mean of the stated paces.
    :param trust: 0 to 1; how much of a stated pace its responses confirm.
    :param log_correction: logarithm of the time that its responses take, relative to what its
        stated paces let expect.
    :param samples: responses in `log_correction`.
    :param observed_at: when the latest of them arrived.
    :param latest: cached estimate.
    :param latest_at: when it was computed.
    """

    rates: ServiceRates
    stated: float = 1.0
    stated_at: float = -math.inf
    statements: int = 0
    mean: float = 1.0
    trust: float = 1.0
    log_correction: float = 0.0
    samples: float = 0.0
    observed_at: float = -math.inf
    latest: Estimate = Estimate(known=True)
    latest_at: float = -math.inf

    def record_statement(self, pace: float, at: float, own: bool = True) -> None:
        """Record a stated pace unless a later one is known.

        :param own: whether a response to this router stated it. Other routers report only changes,
            which say nothing about the mean.
        """
        pace = min(MAX_PACE, max(MIN_PACE, pace))
        if own:
            self.statements += 1
            gap = at - self.stated_at
            self.rates.persistence.add(self.stated - self.mean, pace - self.mean, gap)
            weight = max(MEAN_WEIGHT, 1.0 / (self.statements + 1))
            self.mean += weight * (pace - self.mean)
        if at >= self.stated_at:
            self.stated, self.stated_at = pace, at
            self.latest_at = -math.inf

    def stated_pace(self, now: float) -> float:
        """Return the pace by what the endpoint stated, which nears the mean as it ages."""
        weight = 0.5 ** (max(0.0, now - self.stated_at) / self.rates.persistence.half_life)
        stated = self.mean + weight * (self.stated - self.mean)
        return 1.0 + self.trust * (stated - 1.0)

    def correction(self, now: float) -> float:
        """Return the factor by which responses take longer than the stated pace says."""
        if not self.samples:
            return 1.0
        age = max(0.0, now - self.observed_at)
        return math.exp(self.log_correction * 0.5 ** (age / CORRECTION_HALF_LIFE_SECONDS))

    def pace(self, now: float) -> float:
        """Return the expected pace."""
        return min(MAX_PACE, max(MIN_PACE, self.stated_pace(now) * self.correction(now)))

    def age(self, now: float) -> float:
        """Return the seconds since the endpoint's latest response or statement."""
        return now - max(self.stated_at, self.observed_at)

    def confidence(self, now: float) -> float:
        """Return how much the estimate rests on recent responses of the endpoint, 0 to 1."""
        weight = 0.5 ** (self.age(now) / CORRECTION_HALF_LIFE_SECONDS)
        return weight * self.samples / (self.samples + CONFIDENT_SAMPLES)

    def estimate(self, now: float) -> Estimate:
        """Return what work takes at the endpoint, at most `ESTIMATE_REFRESH_SECONDS` old."""
        if not 0.0 <= now - self.latest_at < ESTIMATE_REFRESH_SECONDS:
            rates = self.rates
            pace = self.pace(now)
            self.latest = Estimate(
                pace,
                1.0 / rates.first_event.slope,
                rates.first_event.intercept,
                rates.slot.seconds,
                rates.plain.seconds,
                known=True,
                token_cost=pace * rates.first_event.slope * PREFILL_TOKENS_PER_SECOND,
            )
            self.latest_at = now
        return self.latest

    def record_first_event(self, sample: FirstEventSample, now: float) -> None:
        """Record when the first event of a response arrived."""
        if sample.queued:  # The wait for a slot depends on other requests, not on the machine.
            return
        seconds = max(MIN_SECONDS, now - sample.sent_at)
        ratio = seconds / max(MIN_SECONDS, self.rates.first_event.predict(sample.tokens))
        stated = self.stated_pace(now)
        certainty = sample.certainty
        self.rates.first_event.add(sample.tokens, seconds / stated, certainty)
        self.record_trust(ratio, certainty)
        self.record_ratio(ratio / stated, now, certainty)

    def record_no_event(self, sample: FirstEventSample, now: float) -> None:
        """Record that a request failed or was cancelled without an event.

        Only a longer wait than expected is evidence, as the response would have taken even longer.
        """
        seconds = now - sample.sent_at
        usual = self.rates.first_event.predict(sample.tokens)
        if not sample.queued and seconds > usual * self.pace(now):
            self.record_ratio(seconds / (self.stated_pace(now) * usual), now)

    def record_trust(self, ratio: float, certainty: float) -> None:
        """Adapt the trust to whether a response took as long as the stated pace says.

        :param ratio: time of the response, relative to that at the usual pace.
        :param certainty: 0 to 1, of the ratio.
        """
        deviation = math.log(self.stated)
        if abs(deviation) < NOTABLE_DEVIATION:
            return
        observed = math.log(ratio) - self.log_correction
        confirmed = abs(observed - deviation) <= abs(observed)
        self.trust += TRUST_WEIGHT * certainty * (confirmed - self.trust)

    def record_ratio(self, ratio: float, now: float, certainty: float = 1.0) -> None:
        """Adapt the correction.

        :param ratio: time of a response, relative to what the stated pace lets expect.
        :param certainty: 0 to 1, of the ratio.
        """
        current = math.log(self.correction(now))
        step = max(-MAX_CORRECTION_STEP, min(MAX_CORRECTION_STEP, math.log(ratio) - current))
        self.samples += certainty
        self.log_correction = current + CORRECTION_WEIGHT * certainty * step
        self.observed_at = now
        self.latest_at = -math.inf
