"""Figures of a run, from the callers' results and the upstreams' counters."""

from collections.abc import Iterable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram
from msgspec import Struct

from bench.load import Result
from sesametrack.contracts.snapshots import KEY_SPACE
from standins.faults import ProcessReport

_MAX_LATENCY_US = 120_000_000
# The reported share is rounded down to six decimals.
_COVERAGE_TOLERANCE = 0.000002


class Figures(Struct):
    """The figures of one run of one scenario.

    Latencies are in milliseconds from the scheduled send time of a request.
    `wrong` counts incorrect responses: mixed snapshots, overlapping shards,
    shards of another request, a reported coverage that differs from the
    returned shards, and "not-run" for a request that an upstream ran.
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
    """Sums of the counters of all upstreams."""

    ran: int
    over_slots: int
    over_connections: int
    fell_over: int
    crashes: int
    poisoned: int
    after_leaving: int
    shed: int


def total_counts(reports: Iterable[ProcessReport]) -> UpstreamTotals:
    """Return the sums of the counters of all upstreams."""
    counts = [
        upstream_counts
        for report in reports
        for upstream_counts in report.counts.values()
    ]
    return UpstreamTotals(
        sum(upstream_counts.ran for upstream_counts in counts),
        sum(upstream_counts.over_slots for upstream_counts in counts),
        sum(upstream_counts.over_connections for upstream_counts in counts),
        sum(upstream_counts.fell_over for upstream_counts in counts),
        sum(upstream_counts.crashes for upstream_counts in counts),
        sum(upstream_counts.poisoned for upstream_counts in counts),
        sum(upstream_counts.after_leaving for upstream_counts in counts),
        sum(upstream_counts.shed for upstream_counts in counts),
    )


def compute_figures(
    scenario: str,
    policy: str,
    seed: int,
    duration: float,
    results: list[Result],
    reports: list[ProcessReport],
) -> Figures:
    """Return the figures of a run, except the CPU time per sub-query."""
    figures = Figures(scenario, policy, seed, len(results))
    answered = [result for result in results if result.status == 200]
    _fill_latency(figures, answered)
    _fill_coverage(figures, answered)
    _fill_outcomes(figures, results)
    figures.throughput_per_s = round(len(answered) / duration, 1)
    totals = total_counts(reports)
    figures.over_limit = totals.over_slots + totals.over_connections
    requested_shards = sum(
        result.content['coverage']['shards_total']
        for result in results
        if 'coverage' in result.content
    )
    if requested_shards:
        figures.extra_load = round(totals.ran / requested_shards - 1, 4)
    figures.wrong = count_wrong(results, reports)
    figures.doubled = sum(
        1
        for report in reports
        for runs in report.action_runs.values()
        if runs > 1
    ) + _count_cross_process_actions(reports)
    figures.notes = {
        **_count_missing_by_reason(results),
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
    """Return the number of incorrect answers and incorrect not-run errors."""
    executed_nonces: set[str] = set()
    for report in reports:
        executed_nonces.update(report.runs_by_request)
    return sum(1 for result in results if _is_wrong(result, executed_nonces))


def _is_wrong(result: Result, executed_nonces: set[str]) -> bool:
    content = result.content
    if result.status == 200:
        return _is_wrong_answer(result)
    if content.get('outcome') == 'not-run':
        query = result.question.query
        # All poison queries carry the same nonce, so a run can't be
        # attributed to one request; `poisoned` counts these runs.
        return not query.get('poison') and query.get('nonce') in executed_nonces
    return False


def _is_wrong_answer(result: Result) -> bool:
    content = result.content
    question = result.question
    if content['request_id'] != question.request_id:
        return True
    next_key = 0
    for shard in content['shards']:
        first, last = shard['key_range']
        if first < next_key or not _matches_request(shard, result):
            return True
        next_key = last + 1
    if question.key is not None:
        return len(content['shards']) != 1
    return not _is_coverage_consistent(content)


def _matches_request(shard: dict, result: Result) -> bool:
    body = shard['body']
    return (
        body['nonce'] == result.question.query['nonce']
        and body['version'] == result.content['snapshot'][0]
        and body['range'] == shard['key_range']
    )


def _is_coverage_consistent(content: dict) -> bool:
    reported = content['coverage']
    ranges = [shard['key_range'] for shard in content['shards']]
    covered_keys = sum(last - first + 1 for first, last in ranges)
    difference = abs(reported['share'] - covered_keys / KEY_SPACE)
    is_complete = covered_keys == KEY_SPACE
    return (
        difference < _COVERAGE_TOLERANCE and reported['complete'] == is_complete
    )


def _count_cross_process_actions(reports: list[ProcessReport]) -> int:
    process_count_by_action: dict[str, int] = {}
    for report in reports:
        for action in report.action_runs:
            process_count_by_action[action] = (
                process_count_by_action.get(action, 0) + 1
            )
    return sum(
        1
        for process_count in process_count_by_action.values()
        if process_count > 1
    )


def _count_missing_by_reason(results: list[Result]) -> dict[str, int]:
    count_by_name: dict[str, int] = {}
    for result in results:
        for shard in result.content.get('coverage', {}).get('missing', ()):
            name = f'missing_{shard["reason"]}'
            count_by_name[name] = count_by_name.get(name, 0) + 1
    return count_by_name


def _fill_latency(figures: Figures, answered: list[Result]) -> None:
    histogram = HdrHistogram(1, _MAX_LATENCY_US, 3)
    for result in answered:
        histogram.record_value(min(_MAX_LATENCY_US, int(result.elapsed * 1e6)))
    figures.p50_ms = _quantile(histogram, 50)
    figures.p99_ms = _quantile(histogram, 99)
    figures.p999_ms = _quantile(histogram, 99.9)


def _quantile(histogram: HdrHistogram, percentile: float) -> float:
    return round(histogram.get_value_at_percentile(percentile) / 1000, 1)


def _fill_coverage(figures: Figures, answered: list[Result]) -> None:
    shares = [result.content['coverage']['share'] for result in answered]
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
