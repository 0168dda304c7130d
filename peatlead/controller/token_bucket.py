"""A token bucket whose rate may change with each call."""


class TokenBucket:
    """Holds at most the tokens of one second, and starts full. Rates are in tokens per second."""

    __slots__ = ("tokens", "filled_at")

    def __init__(self, rate: float) -> None:
        self.tokens = rate
        self.filled_at = 0.0  # seconds on the loop's clock

    def take(self, now: float, rate: float, cost: float = 1.0) -> bool:
        """Refill at `rate`, then take `cost` tokens; return False if too few are left."""
        if now > self.filled_at:
            refilled = self.tokens + (now - self.filled_at) * rate
            self.tokens = min(max(rate, cost), refilled)
            self.filled_at = now
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True
