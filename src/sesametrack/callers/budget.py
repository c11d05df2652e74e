"""Budget of extra sub-queries as a share of the primary ones."""


class RatioBudget:
    """Token bucket that fills with each primary sub-query."""

    def __init__(self, share: float, burst: int) -> None:
        """Allow `share` extra for each primary one, and `burst` at once."""
        self._share = share
        self._burst = burst if share else 0
        self._tokens: float = self._burst

    def record_primary(self, count: int = 1) -> None:
        """Earn tokens for primary sub-queries."""
        self._tokens = min(self._burst, self._tokens + self._share * count)

    def try_spend(self) -> bool:
        """Spend one token; False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
