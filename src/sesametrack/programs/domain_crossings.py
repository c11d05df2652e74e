"""Counts what this VM sends to other failure domains, by kind."""

from collections import Counter
from logging import getLogger

from sesametrack.contracts.types import FailureDomainId
from sesametrack.telemetry.metrics import Metrics
from sesametrack.telemetry.structured_log import log_event

_log = getLogger('forwarder')


class DomainCrossings:
    """Counts messages that leave the failure domain.

    Each count becomes the metric `domain-crossings.KIND`; `flush` logs what
    was counted since the last time.
    """

    def __init__(self, domain: FailureDomainId, metrics: Metrics) -> None:
        """Start from zero."""
        self._domain = domain
        self._metrics = metrics
        self._unlogged: Counter[str] = Counter()

    def record(self, kind: str, domain: FailureDomainId) -> None:
        """Count a message of one kind if it goes to another domain."""
        if domain != self._domain:
            self.record_remote(kind, 1)

    def record_remote(self, kind: str, messages: int) -> None:
        """Count messages that go to other domains."""
        self._unlogged[kind] += messages
        self._metrics.count(f'domain-crossings.{kind}', messages)

    def flush(self) -> None:
        """Log the counts since the last call, if there are any."""
        if self._unlogged:
            log_event(_log, 'domain-crossings', **self._unlogged)
            self._unlogged.clear()
