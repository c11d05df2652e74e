"""Figures of a run: what the callers saw and what the upstreams counted."""

from collections.abc import Iterable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram
from msgspec import Struct

from bench.load import Result
from sesametrack.contracts.snapshots import KEY_SPACE
from standins.faults import ProcessReport

_MAX_US = 120_000_000
_SHARE_TOLERANCE = 0.000002


class Figures(Struct):
    """The figures of one run of one scenario.

    Times are in milliseconds from when a request was due. `wrong` counts
    false answers: mixed snapshots, overlapping or foreign shards, a
    coverage that differs from the shards given, and "not run" for what an
    upstream ran.
    """

    scenario: str
    policy: str
    seed: int
    requests: int = 0
    p50_ms: float = 0
    p99_ms: float = 0
    p999_ms: float = 0
    coverage_mean: float = 0
    coverage_worst: float = 0
    extra_load: float = 0
    throughput_per_s: float = 0
    refused_not_run: int = 0
    unknown: int = 0
    late: int = 0
    wrong: int = 0
    doubled: int = 0
    over_limit: int = 0
    cut: int = 0
    cpu_us_per_subquery: dict[str, float] = {}
    notes: dict[str, float | int | str] = {}


@dataclass(frozen=True, slots=True)
class UpstreamTotals:
    """Counts over all upstreams."""

    ran: int
    over_slots: int
    over_connections: int
    fell_over: int
    crashes: int
    poisoned: int
    after_leaving: int
    shed: int


def total_counts(reports: Iterable[ProcessReport]) -> UpstreamTotals:
    """Add the counts of all upstreams up."""
    counts = [
        counted for report in reports for counted in report.counts.values()
    ]
    return UpstreamTotals(
        sum(counted.ran for counted in counts),
        sum(counted.over_slots for counted in counts),
        sum(counted.over_connections for counted in counts),
        sum(counted.fell_over for counted in counts),
        sum(counted.crashes for counted in counts),
        sum(counted.poisoned for counted in counts),
        sum(counted.after_leaving for counted in counts),
        sum(counted.shed for counted in counts),
    )


def compute_figures(
    scenario: str,
    policy: str,
    seed: int,
    duration: float,
    results: list[Result],
    reports: list[ProcessReport],
) -> Figures:
    """Compute the figures that do not need processor times."""
    figures = Figures(scenario, policy, seed, len(results))
    ran = [result for result in results if result.status == 200]
    _fill_latency(figures, ran)
    _fill_coverage(figures, ran)
    _fill_outcomes(figures, results)
    figures.throughput_per_s = round(len(ran) / duration, 1)
    totals = total_counts(reports)
    figures.over_limit = totals.over_slots + totals.over_connections
    needed = sum(
        result.content['coverage']['shards_total']
        for result in results
        if 'coverage' in result.content
    )
    if needed:
        figures.extra_load = round(totals.ran / needed - 1, 4)
    figures.wrong = count_wrong(results, reports)
    figures.doubled = sum(
        1
        for report in reports
        for runs in report.action_runs.values()
        if runs > 1
    ) + _count_split_actions(reports)
    figures.notes = {
        **_count_missing(results),
        'over_slots': totals.over_slots,
        'over_connections': totals.over_connections,
        'fell_over': totals.fell_over,
        'crashes': totals.crashes,
        'poisoned': totals.poisoned,
        'after_leaving': totals.after_leaving,
        'shed': totals.shed,
        'sub_queries_run': totals.ran,
    }
    return figures


def count_wrong(results: list[Result], reports: list[ProcessReport]) -> int:
    """Count false answers and false claims that nothing was run."""
    ran: set[str] = set()
    for report in reports:
        ran.update(report.runs_by_request)
    return sum(1 for result in results if _is_wrong(result, ran))


def _is_wrong(result: Result, ran: set[str]) -> bool:
    content = result.content
    if result.status == 200:
        return _is_wrong_answer(result)
    if content.get('outcome') == 'not-run':
        query = result.question.query
        # A killer is sent again as the same query; its runs are counted
        # apart, as `poisoned`.
        return not query.get('poison') and query.get('nonce') in ran
    return False


def _is_wrong_answer(result: Result) -> bool:
    content = result.content
    question = result.question
    if content['request_id'] != question.request_id:
        return True
    next_key = 0
    for shard in content['shards']:
        first, last = shard['key_range']
        if first < next_key or not _is_own(shard, result):
            return True
        next_key = last + 1
    if question.key is not None:
        return len(content['shards']) != 1
    return not _is_coverage_true(content)


def _is_own(shard: dict, result: Result) -> bool:
    body = shard['body']
    return (
        body['nonce'] == result.question.query['nonce']
        and body['version'] == result.content['snapshot'][0]
        and body['range'] == shard['key_range']
    )


def _is_coverage_true(content: dict) -> bool:
    stated = content['coverage']
    ranges = [shard['key_range'] for shard in content['shards']]
    covered = sum(last - first + 1 for first, last in ranges)
    difference = abs(stated['share'] - covered / KEY_SPACE)
    is_complete = covered == KEY_SPACE
    return difference < _SHARE_TOLERANCE and stated['complete'] == is_complete


def _count_split_actions(reports: list[ProcessReport]) -> int:
    runs: dict[str, int] = {}
    for report in reports:
        for action in report.action_runs:
            runs[action] = runs.get(action, 0) + 1
    return sum(1 for processes in runs.values() if processes > 1)


def _count_missing(results: list[Result]) -> dict[str, int]:
    missing: dict[str, int] = {}
    for result in results:
        for shard in result.content.get('coverage', {}).get('missing', ()):
            name = f'missing_{shard["reason"]}'
            missing[name] = missing.get(name, 0) + 1
    return missing


def _fill_latency(figures: Figures, ran: list[Result]) -> None:
    histogram = HdrHistogram(1, _MAX_US, 3)
    for result in ran:
        histogram.record_value(min(_MAX_US, int(result.elapsed * 1e6)))
    figures.p50_ms = _quantile(histogram, 50)
    figures.p99_ms = _quantile(histogram, 99)
    figures.p999_ms = _quantile(histogram, 99.9)


def _quantile(histogram: HdrHistogram, percentile: float) -> float:
    return round(histogram.get_value_at_percentile(percentile) / 1000, 1)


def _fill_coverage(figures: Figures, ran: list[Result]) -> None:
    shares = [result.content['coverage']['share'] for result in ran]
    if shares:
        figures.coverage_mean = round(sum(shares) / len(shares), 6)
        figures.coverage_worst = min(shares)


def _fill_outcomes(figures: Figures, results: list[Result]) -> None:
    for result in results:
        outcome = result.content.get('outcome')
        if not result.status:
            figures.cut += 1
        elif outcome == 'not-run':
            figures.refused_not_run += 1
        elif outcome == 'unknown':
            figures.unknown += 1
        if result.elapsed > result.question.deadline_s:
            figures.late += 1
