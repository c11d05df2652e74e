"""Runs scenarios: `python -m bench SCENARIO... --seed N --json FILE`."""

from asyncio import create_task, sleep
from asyncio import run as run_loop
from pathlib import Path
from random import Random
from shutil import rmtree
from sys import exit as exit_process
from sys import stderr, stdout
from tempfile import mkdtemp

from absl import app, flags
from msgspec.json import encode
from msgspec.json import format as format_json

from bench.figures import Figures, compute_figures, total_counts
from bench.load import Balancer, run_load
from bench.processes import Cluster
from bench.scenarios import SCENARIO_BY_NAME, Run, Scenario

_SEED = flags.DEFINE_integer(
    'seed', 1, 'random seed of the load and the simulators'
)
_JSON_FILE = flags.DEFINE_string(
    'json', None, 'append the figures to this JSON Lines file'
)
_POLICY = flags.DEFINE_enum(
    'policy', 'full', ['full', 'baseline'], 'policy that the daemons run with'
)
_RATE_PER_S = flags.DEFINE_float(
    'rate', 0, 'requests per second; 0 uses the rate of the scenario'
)
_DURATION_S = flags.DEFINE_float(
    'duration', 0, 'seconds; 0 uses the duration of the scenario'
)
_KEEP_DIRECTORY = flags.DEFINE_string(
    'keep', None, 'directory in which logs and files are kept'
)
_WARM_UP_S = 2.0
_WARM_UP_RATE_PER_S = 20.0
_SETTLE_S = 0.5
_US_PER_S = 1_000_000


async def run_scenario(
    scenario: Scenario, seed: int, policy: str, directory: Path
) -> Figures:
    """Run one scenario on real daemon processes and return its figures."""
    cluster = Cluster(scenario.make_deployment(), directory, seed, policy)
    balancer = Balancer(cluster.entries)
    try:
        await cluster.start()
        balancer.start()
        return await _measure(scenario, seed, policy, cluster, balancer)
    finally:
        await balancer.close()
        _report_exit_codes(await cluster.close())


async def _measure(
    scenario: Scenario,
    seed: int,
    policy: str,
    cluster: Cluster,
    balancer: Balancer,
) -> Figures:
    rate_per_s = _RATE_PER_S.value or scenario.rate_per_s
    duration_s = _DURATION_S.value or scenario.duration_s
    run = Run(cluster, Random(seed), duration_s)
    if scenario.prepare is not None:
        await scenario.prepare(run)
    warm_up_source = scenario.make_source(Random(seed + 1))
    await run_load(
        balancer, warm_up_source, _WARM_UP_RATE_PER_S, _WARM_UP_S, seed
    )
    await cluster.reset_reports()
    cpu_seconds_before = _cpu_seconds_by_program(cluster)
    script = create_task(scenario.script(run))
    source = scenario.make_source(Random(seed))
    results = await run_load(balancer, source, rate_per_s, duration_s, seed)
    await script
    await sleep(_SETTLE_S)
    reports = await cluster.reports()
    figures = compute_figures(
        scenario.name, policy, seed, duration_s, results, reports
    )
    sub_queries_run = max(1, total_counts(reports).ran)
    figures.cpu_us_per_subquery = {
        program: round(
            (seconds - cpu_seconds_before[program])
            * _US_PER_S
            / sub_queries_run,
            1,
        )
        for program, seconds in _cpu_seconds_by_program(cluster).items()
    }
    figures.notes.update(run.notes)
    return figures


def _report_exit_codes(codes: dict[str, int]) -> None:
    nonzero = {name: code for name, code in codes.items() if code}
    if nonzero:
        stderr.write(f'nonzero exit codes: {nonzero}\n')


def _cpu_seconds_by_program(cluster: Cluster) -> dict[str, float]:
    return {
        program: cluster.cpu_seconds(program) for program in ('entry', 'gate')
    }


def _main(argv: list[str]) -> None:
    names = argv[1:] or ['steady']
    unknown = [name for name in names if name not in SCENARIO_BY_NAME]
    if unknown:
        stderr.write(f'unknown scenario: {", ".join(unknown)}\n')
        stderr.write(f'known scenarios: {", ".join(SCENARIO_BY_NAME)}\n')
        exit_process(2)
    for name in names:
        directory = Path(
            _KEEP_DIRECTORY.value or mkdtemp(prefix='sesametrack-')
        )
        figures = run_loop(
            run_scenario(
                SCENARIO_BY_NAME[name], _SEED.value, _POLICY.value, directory
            )
        )
        encoded = encode(figures)
        stdout.write(f'{format_json(encoded, indent=2).decode()}\n')
        stdout.flush()
        if _JSON_FILE.value:
            with Path(_JSON_FILE.value).open('ab') as output:
                output.write(encoded + b'\n')
        if not _KEEP_DIRECTORY.value:
            rmtree(directory)


if __name__ == '__main__':
    app.run(_main)
