"""A rate that a hollow service allows; what is beyond it is refused at once."""

from dataclasses import dataclass

from pepperlatch.protocol.token_bucket import TokenBucket


@dataclass(slots=True)
class RateLimit:
    """`rate` a second, with bursts of `burst_s` seconds' worth."""

    rate: float
    burst_s: float = 1.0
    _budget: TokenBucket | None = None

    def take(self, now: float, amount: float = 1.0) -> bool:
        """Whether `amount` is within the limit; it is taken if so."""
        if self._budget is None:
            self._budget = TokenBucket(self.rate, self.burst_s, self.rate * self.burst_s, now)
        if self._budget.available(now) < amount:
            return False
        self._budget.take(now, amount)
        return True
