"""Budget of extra sub-queries as a ratio of the primary ones."""


class RatioBudget:
    """Token bucket refilled by primary sub-queries."""

    def __init__(self, ratio: float, burst: int) -> None:
        """Allow `ratio` extra sub-queries per primary, `burst` at once."""
        self._ratio = ratio
        self._burst = burst if ratio else 0
        self._tokens: float = self._burst

    def record_primary(self, count: int = 1) -> None:
        """Add tokens for primary sub-queries."""
        self._tokens = min(self._burst, self._tokens + self._ratio * count)

    def try_spend(self) -> bool:
        """Spend one token; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
