"""
Ablation study: run the users' bench with one mechanism disabled at a time.

A plan in an INI file names the sites with their days and seeds, and for each
mechanism the one source line that disables it. The bench runs in a separate
clone of the repository for each mechanism. Results are appended to a data file
as JSON lines; runs that the file already contains are skipped, so an interrupted
plan can be resumed.
"""

import configparser
import statistics
import subprocess
from collections.abc import Iterator
from pathlib import Path

import click
import msgspec
import trio

ROOT = Path(__file__).parent.parent
BASELINE = "nothing"
MECHANISM_PREFIX = "off "
SITE_PREFIX = "site "


class PlanError(Exception):
    """Raised when a line named in the plan does not match the sources."""


class Mechanism(msgspec.Struct, frozen=True):
    """A mechanism, and the replacement of a source line that disables it."""

    name: str
    file: str = ""
    old: str = ""
    new: str = ""


class Run(msgspec.Struct, frozen=True, order=True):
    """One run of the bench: a day of a site with one mechanism disabled."""

    mechanism: str
    site: str
    day: str
    seed: int


class Result(msgspec.Struct, frozen=True):
    """
    Result of one run, as stored in the data file.

    Parameters
    ----------
    score : float
        The bench's score of the day.
    broken_rules : tuple of str
        Names of the bench's rules that were broken.
    """

    commit: str
    run: Run = msgspec.field(name="play")
    score: float = msgspec.field(name="worth")
    broken_rules: tuple[str, ...] = msgspec.field(name="broken")


class Difference(msgspec.Struct, frozen=True):
    """Change of the score when a mechanism is disabled, over paired runs of a site."""

    mechanism: str
    site: str
    mean: float
    deviation: float
    pairs: int
    broken_rules: tuple[str, ...]


class _Report(msgspec.Struct):
    """The fields that are read from the bench's report of a day."""

    score: float = msgspec.field(name="G")
    broken_rules: dict[str, int] = msgspec.field(name="breaks", default_factory=dict)


def read_plan(text: str) -> tuple[list[Mechanism], list[Run]]:
    """Return the mechanisms and runs of a plan, the baseline first."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(text)
    mechanisms = [Mechanism(BASELINE)]
    for name in parser.sections():
        if name.startswith(MECHANISM_PREFIX):
            row = parser[name]
            new = row.get("new", "")
            mechanism_name = name.removeprefix(MECHANISM_PREFIX)
            mechanisms.append(Mechanism(mechanism_name, row["file"], row["old"], new))
    runs = [
        Run(mechanism.name, site.removeprefix(SITE_PREFIX), day, int(seed))
        for mechanism in mechanisms
        for site in parser.sections()
        if site.startswith(SITE_PREFIX)
        for day in parser[site]["days"].split()
        for seed in parser[site]["seeds"].split()
    ]
    return mechanisms, runs


def disable(folder: Path, mechanism: Mechanism) -> None:
    """
    Disable `mechanism` by replacing its source line in `folder`.

    Raises
    ------
    PlanError
        If the file does not contain the line exactly once.
    """
    if mechanism.name == BASELINE:
        return
    path = folder / mechanism.file
    text = path.read_text(encoding="utf-8")
    if text.count(mechanism.old) != 1:
        count = text.count(mechanism.old)
        raise PlanError(f"{mechanism.name}: {count} lines match in {mechanism.file}")
    path.write_text(text.replace(mechanism.old, mechanism.new), encoding="utf-8")


def compare_with_baseline(results: list[Result]) -> Iterator[Difference]:
    """Yield the change for each mechanism and site, paired by day and seed."""
    by_run = {result.run: result for result in results}
    grouped: dict[tuple[str, str], list[Result]] = {}
    for result in results:
        if result.run.mechanism != BASELINE:
            key = (result.run.mechanism, result.run.site)
            grouped.setdefault(key, []).append(result)
    for (mechanism, site), group in sorted(grouped.items()):
        pairs = [
            (result, base)
            for result in group
            if (base := by_run.get(_baseline_of(result.run))) is not None
        ]
        if not pairs:
            continue
        changes = [result.score - base.score for result, base in pairs]
        broken_rules = {rule for result, _ in pairs for rule in result.broken_rules}
        yield Difference(
            mechanism,
            site,
            statistics.mean(changes),
            statistics.pstdev(changes),
            len(changes),
            tuple(sorted(broken_rules)),
        )


def _baseline_of(run: Run) -> Run:
    """Return the run without a disabled mechanism that `run` is compared with."""
    return Run(BASELINE, run.site, run.day, run.seed)


def format_table(differences: list[Difference]) -> str:
    """Return the differences as a Markdown table."""
    rows = [
        "| off | site | worth | spread | pairs | broken |",
        "|---|---|---|---|---|---|",
    ]
    for item in differences:
        broken = ", ".join(item.broken_rules) or "none"
        rows.append(
            f"| {item.mechanism} | {item.site} | {item.mean:+.4f} "
            f"| {item.deviation:.4f} | {item.pairs} | {broken} |"
        )
    return "\n".join(rows)


class Ablation:
    """
    Runs the bench for the mechanisms of a plan and stores the results.

    Parameters
    ----------
    bench : Path
        Executable of the users' bench.
    sites : dict of str to Path
        Site files of the bench, by their names in the plan.
    folder : Path
        Directory of the clones and of the bench reports.
    data : Path
        File to which the results are appended.
    """

    def __init__(
        self, bench: Path, sites: dict[str, Path], folder: Path, data: Path
    ) -> None:
        self._bench = bench
        self._sites = sites
        self._folder = folder
        self._data = data
        self._commit = _git(ROOT, "rev-parse", "HEAD")

    def load_results(self) -> list[Result]:
        """Return the results of the current commit in the data file."""
        if not self._data.exists():
            return []
        lines = self._data.read_bytes().splitlines()
        results = [msgspec.json.decode(line, type=Result) for line in lines]
        return [result for result in results if result.commit == self._commit]

    def prepare(self, mechanism: Mechanism) -> None:
        """Clone the repository, disable `mechanism` in the clone and build it."""
        clone = self._clone_path(mechanism.name)
        if not clone.exists():
            _git(ROOT, "clone", "--quiet", str(ROOT), str(clone))
            disable(clone, mechanism)
        self._run_bench(clone, ["build"])

    def _clone_path(self, mechanism: str) -> Path:
        """Return the path of the clone for `mechanism`."""
        return self._folder / f"{self._commit[:10]}-{mechanism}"

    def _run_bench(self, clone: Path, arguments: list[str]) -> None:
        """Run the bench once in `clone`."""
        command = [str(self._bench), *arguments]
        subprocess.run(command, cwd=clone, check=True, stdout=subprocess.DEVNULL)

    async def run(self, run: Run) -> None:
        """Run the bench for one day and append the result to the data file."""
        clone = self._clone_path(run.mechanism)
        report = self._folder / f"{'-'.join(map(str, msgspec.structs.astuple(run)))}"
        arguments = ["run", str(self._sites[run.site]), run.day, "--no-cpu"]
        arguments += ["--report", str(report), "--seed", str(run.seed)]
        arguments += ["--why", f"ablation: {run.mechanism} off, {self._commit[:10]}"]
        await trio.to_thread.run_sync(self._run_bench, clone, arguments)
        day = msgspec.json.decode(report.read_bytes(), type=_Report)
        result = Result(self._commit, run, day.score, tuple(sorted(day.broken_rules)))
        with self._data.open("ab") as data:
            data.write(msgspec.json.encode(result) + b"\n")

    async def run_all(self, runs: list[Run], jobs: int) -> None:
        """Run those of `runs` that have no result yet, `jobs` at a time."""
        finished = {result.run for result in self.load_results()}
        limiter = trio.CapacityLimiter(jobs)

        async def run_when_free(run: Run) -> None:
            async with limiter:
                await self.run(run)

        async with trio.open_nursery() as nursery:
            for run in runs:
                if run not in finished:
                    nursery.start_soon(run_when_free, run)


def _git(folder: Path, *arguments: str) -> str:
    """Return the output of a git command."""
    command = ["git", *arguments]
    completed = subprocess.run(command, cwd=folder, check=True, capture_output=True)
    return completed.stdout.decode().strip()


@click.command()
@click.argument("plan", type=click.Path(exists=True, path_type=Path))
@click.option("--bench", required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--site", "sites", multiple=True, help="NAME=FILE for each site.")
@click.option("--folder", required=True, type=click.Path(path_type=Path))
@click.option("--data", required=True, type=click.Path(path_type=Path))
@click.option("--jobs", default=4, show_default=True)
def main(
    plan: Path, bench: Path, sites: tuple[str, ...], folder: Path, data: Path, jobs: int
) -> None:
    """Run PLAN with one mechanism disabled at a time and print the differences."""
    mechanisms, runs = read_plan(plan.read_text(encoding="utf-8"))
    files = {name: Path(file) for name, _, file in (s.partition("=") for s in sites)}
    folder.mkdir(parents=True, exist_ok=True)
    ablation = Ablation(bench, files, folder, data)
    for mechanism in mechanisms:
        ablation.prepare(mechanism)
    wanted = [run for run in runs if run.site in files]
    trio.run(ablation.run_all, wanted, jobs)
    click.echo(format_table(list(compare_with_baseline(ablation.load_results()))))


if __name__ == "__main__":
    main()
