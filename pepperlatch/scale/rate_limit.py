"""The rate limit of a simulated service. Requests above the limit are refused at once, not delayed."""

from dataclasses import dataclass

from pepperlatch.protocol.token_bucket import TokenBucket


@dataclass(slots=True)
class RateLimit:
    """Allows `rate` units a second on average, and bursts of up to `rate * burst_s` units."""

    rate: float
    burst_s: float = 1.0
    _bucket: TokenBucket | None = None

    def take(self, now: float, amount: float = 1.0) -> bool:
        """Take `amount` units at time `now` (seconds) if the limit allows them; returns whether it did."""
        if self._bucket is None:
            self._bucket = TokenBucket(self.rate, self.burst_s, self.rate * self.burst_s, now)
        if self._bucket.available(now) < amount:
            return False
        self._bucket.take(now, amount)
        return True
