"""Runs a scenario: `python -m bench SCENARIO --seed N --json FILE`."""

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

_SEED = flags.DEFINE_integer('seed', 1, 'seed of the load and the stand-ins')
_JSON = flags.DEFINE_string('json', None, 'append the figures to this file')
_POLICY = flags.DEFINE_enum(
    'policy', 'full', ['full', 'baseline'], 'policy of the daemons'
)
_RATE = flags.DEFINE_float('rate', 0, 'requests a second, 0 for the usual')
_DURATION = flags.DEFINE_float('duration', 0, 'seconds, 0 for the usual')
_KEEP = flags.DEFINE_string('keep', None, 'keep logs and files in a folder')
_WARM_UP_S = 2.0
_WARM_UP_RATE = 20.0
_SETTLE_S = 0.5
_US = 1_000_000


async def run_scenario(
    scenario: Scenario, seed: int, policy: str, folder: Path
) -> Figures:
    """Run one scenario on the real processes and return its figures."""
    cluster = Cluster(scenario.make_deployment(), folder, seed, policy)
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
    rate = _RATE.value or scenario.rate_per_s
    duration = _DURATION.value or scenario.duration_s
    run = Run(cluster, Random(seed), duration)
    if scenario.prepare is not None:
        await scenario.prepare(run)
    warm_up = scenario.make_source(Random(seed + 1))
    await run_load(balancer, warm_up, _WARM_UP_RATE, _WARM_UP_S, seed)
    await cluster.reset_reports()
    cpu_before = _cpu(cluster)
    script = create_task(scenario.script(run))
    source = scenario.make_source(Random(seed))
    results = await run_load(balancer, source, rate, duration, seed)
    await script
    await sleep(_SETTLE_S)
    reports = await cluster.reports()
    figures = compute_figures(
        scenario.name, policy, seed, duration, results, reports
    )
    ran = max(1, total_counts(reports).ran)
    figures.cpu_us_per_subquery = {
        program: round((used - cpu_before[program]) * _US / ran, 1)
        for program, used in _cpu(cluster).items()
    }
    figures.notes.update(run.notes)
    return figures


def _report_exit_codes(codes: dict[str, int]) -> None:
    bad = {name: code for name, code in codes.items() if code}
    if bad:
        stderr.write(f'exit codes: {bad}\n')


def _cpu(cluster: Cluster) -> dict[str, float]:
    return {
        program: cluster.cpu_seconds(program) for program in ('entry', 'gate')
    }


def _main(argv: list[str]) -> None:
    names = argv[1:] or ['steady']
    unknown = [name for name in names if name not in SCENARIO_BY_NAME]
    if unknown:
        stderr.write(f'no such scenario: {", ".join(unknown)}\n')
        stderr.write(f'scenarios: {", ".join(SCENARIO_BY_NAME)}\n')
        exit_process(2)
    for name in names:
        folder = Path(_KEEP.value or mkdtemp(prefix='sesametrack-'))
        figures = run_loop(
            run_scenario(
                SCENARIO_BY_NAME[name], _SEED.value, _POLICY.value, folder
            )
        )
        encoded = encode(figures)
        stdout.write(f'{format_json(encoded, indent=2).decode()}\n')
        stdout.flush()
        if _JSON.value:
            with Path(_JSON.value).open('ab') as output:
                output.write(encoded + b'\n')
        if not _KEEP.value:
            rmtree(folder)


if __name__ == '__main__':
    app.run(_main)
