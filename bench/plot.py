"""Plots benchmark figures: `python -m bench.plot FIGURES.json OUT.png`."""

from pathlib import Path
from sys import exit as exit_process
from sys import stderr

from absl import app
from matplotlib import use as use_backend
from matplotlib.pyplot import close, subplots
from msgspec.json import decode

from bench.figures import Figures

_BAR_WIDTH = 0.4
_USAGE = 2
_PANELS = (
    ('p99_ms', 'p99, ms (log)'),
    ('coverage_mean', 'mean coverage'),
    ('extra_load', 'extra load'),
)
_COLOUR_BY_POLICY = {'full': '#1f77b4', 'baseline': '#bbbbbb'}


def plot_figures(runs: list[Figures], path: Path) -> None:
    """Write a bar chart of the latest run of each scenario and policy."""
    latest_run_by_key = {(run.scenario, run.policy): run for run in runs}
    scenarios = sorted({run.scenario for run in runs})
    figure, panels = subplots(len(_PANELS), 1, figsize=(11, 9))
    for panel, (name, label) in zip(panels, _PANELS, strict=True):
        for policy_index, policy in enumerate(_COLOUR_BY_POLICY):
            bars = [
                (
                    position + policy_index * _BAR_WIDTH,
                    getattr(scenario_run, name),
                )
                for position, scenario in enumerate(scenarios)
                if (scenario_run := latest_run_by_key.get((scenario, policy)))
            ]
            panel.bar(
                [position for position, _ in bars],
                [height for _, height in bars],
                _BAR_WIDTH,
                color=_COLOUR_BY_POLICY[policy],
                label=policy,
            )
        panel.set_ylabel(label)
        panel.set_xticks(range(len(scenarios)), scenarios)
    panels[0].set_yscale('log')
    panels[0].legend()
    figure.tight_layout()
    figure.savefig(path)
    close(figure)


def _main(argv: list[str]) -> None:
    if len(argv) != _USAGE + 1:
        stderr.write('usage: python -m bench.plot FIGURES.json OUT.png\n')
        exit_process(_USAGE)
    use_backend('Agg')
    lines = Path(argv[1]).read_bytes().splitlines()
    runs = [decode(line, type=Figures) for line in lines]
    plot_figures(runs, Path(argv[2]))


if __name__ == '__main__':
    app.run(_main)
