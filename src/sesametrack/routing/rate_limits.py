"""Limits on the request rate that upstreams state in their replies."""

from dataclasses import dataclass

from sesametrack.contracts.types import Instant


@dataclass(frozen=True, slots=True)
class StatedRate:
    """What one reply states of its upstream's limit.

    `per_s` is the number of requests per second that the upstream takes
    from all VMs together, None if it takes any number. `unreadable` quotes
    a limit that is not a number, and is empty otherwise.
    """

    per_s: float | None = None
    unreadable: str = ''


@dataclass(slots=True)
class RateLimit:
    """The limit of one upstream, as far as this VM has heard of it.

    `per_s` is in requests per second over all VMs, None without a limit.
    """

    per_s: float | None = None
    heard_at: Instant = float('-inf')
    # When the limit was last set, changed or ended.
    changed_at: Instant = float('-inf')

    def record_reply(
        self, per_s: float | None, sent_at: Instant, now: Instant
    ) -> bool:
        """Apply what a reply states; return whether the limit changed.

        A lower limit applies at once. Replies may arrive in another order
        than they were written, so a limit is raised or ended only by the
        reply to a request that was sent after the limit was heard.
        """
        if _is_looser(per_s, self.per_s) and sent_at <= self.heard_at:
            return False
        return self._set(per_s, now)

    def record_news(self, per_s: float | None, heard_at: Instant) -> bool:
        """Apply what another VM heard; return whether the limit changed."""
        if heard_at <= self.heard_at:
            return False
        return self._set(per_s, heard_at)

    def _set(self, per_s: float | None, heard_at: Instant) -> bool:
        is_changed = per_s != self.per_s
        if is_changed:
            self.changed_at = heard_at
        self.per_s = per_s
        self.heard_at = heard_at
        return is_changed


def _is_looser(per_s: float | None, other: float | None) -> bool:
    if other is None:
        return False
    return per_s is None or per_s > other
