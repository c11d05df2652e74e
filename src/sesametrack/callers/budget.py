"""Budget of extra sub-queries as a share of the primary ones."""

_BURST = 10


class ShareBudget:
    """Token bucket that fills with each primary sub-query."""

    def __init__(self, share: float) -> None:
        """Allow `share` extra sub-queries for each primary one."""
        self.share = share
        self._tokens: float = _BURST * min(1, share * _BURST)

    def record_primary(self, count: int = 1) -> None:
        """Earn tokens for primary sub-queries."""
        self._tokens = min(_BURST, self._tokens + self.share * count)

    def take(self) -> bool:
        """Spend one token; False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
