"""
What each mechanism is worth: days played with one of them switched off.

A plan in an INI file names sites with their days and seeds, and for each
mechanism the one line that switches it off. Every mechanism gets a clone of
its own in which the users' bench plays. A result is a line of JSON; what the
data file holds already is not played again, so a plan can be cut and resumed.
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
NOTHING = "nothing"
MECHANISM_PREFIX = "off "
SITE_PREFIX = "site "


class PlanError(Exception):
    """Raised when a plan does not fit the sources; says where."""


class Mechanism(msgspec.Struct, frozen=True):
    """A mechanism, and the line of a file that switches it off."""

    name: str
    file: str = ""
    old: str = ""
    new: str = ""


class Play(msgspec.Struct, frozen=True, order=True):
    """One day to be played with one mechanism off."""

    mechanism: str
    site: str
    day: str
    seed: int


class Result(msgspec.Struct, frozen=True):
    """What one play gave; `worth` is the day's, `broken` names rules."""

    commit: str
    play: Play
    worth: float
    broken: tuple[str, ...]


class Difference(msgspec.Struct, frozen=True):
    """What switching a mechanism off changed on one site, over paired plays."""

    mechanism: str
    site: str
    mean: float
    spread: float
    pairs: int
    broken: tuple[str, ...]


class _Report(msgspec.Struct):
    """What is read of the bench's report of a day."""

    worth: float = msgspec.field(name="G")
    broken: dict[str, int] = msgspec.field(name="breaks", default_factory=dict)


def read_plan(text: str) -> tuple[list[Mechanism], list[Play]]:
    """Return the mechanisms and plays of a plan, those with nothing off first."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(text)
    mechanisms = [Mechanism(NOTHING)]
    for name in parser.sections():
        if name.startswith(MECHANISM_PREFIX):
            row = parser[name]
            new = row.get("new", "")
            own = name.removeprefix(MECHANISM_PREFIX)
            mechanisms.append(Mechanism(own, row["file"], row["old"], new))
    plays = [
        Play(mechanism.name, site.removeprefix(SITE_PREFIX), day, int(seed))
        for mechanism in mechanisms
        for site in parser.sections()
        if site.startswith(SITE_PREFIX)
        for day in parser[site]["days"].split()
        for seed in parser[site]["seeds"].split()
    ]
    return mechanisms, plays


def switch_off(folder: Path, mechanism: Mechanism) -> None:
    """
    Change the sources in `folder` so that `mechanism` does nothing.

    Raises
    ------
    PlanError
        If its line does not stand there exactly once.
    """
    if mechanism.name == NOTHING:
        return
    path = folder / mechanism.file
    text = path.read_text(encoding="utf-8")
    if text.count(mechanism.old) != 1:
        count = text.count(mechanism.old)
        raise PlanError(f"{mechanism.name}: {count} lines match in {mechanism.file}")
    path.write_text(text.replace(mechanism.old, mechanism.new), encoding="utf-8")


def differences(results: list[Result]) -> Iterator[Difference]:
    """Yield what each mechanism's absence changed, paired by site, day and seed."""
    by_play = {result.play: result for result in results}
    grouped: dict[tuple[str, str], list[Result]] = {}
    for result in results:
        if result.play.mechanism != NOTHING:
            key = (result.play.mechanism, result.play.site)
            grouped.setdefault(key, []).append(result)
    for (mechanism, site), group in sorted(grouped.items()):
        pairs = [
            (result, base)
            for result in group
            if (base := by_play.get(_with_nothing_off(result.play))) is not None
        ]
        if not pairs:
            continue
        gaps = [result.worth - base.worth for result, base in pairs]
        broken = {rule for result, _ in pairs for rule in result.broken}
        yield Difference(
            mechanism,
            site,
            statistics.mean(gaps),
            statistics.pstdev(gaps),
            len(gaps),
            tuple(sorted(broken)),
        )


def _with_nothing_off(play: Play) -> Play:
    """Return the play that `play` is compared with."""
    return Play(NOTHING, play.site, play.day, play.seed)


def table(found: list[Difference]) -> str:
    """Return a Markdown table of what each mechanism's absence changed."""
    rows = [
        "| off | site | worth | spread | pairs | broken |",
        "|---|---|---|---|---|---|",
    ]
    for one in found:
        broken = ", ".join(one.broken) or "none"
        rows.append(
            f"| {one.mechanism} | {one.site} | {one.mean:+.4f} | {one.spread:.4f} "
            f"| {one.pairs} | {broken} |"
        )
    return "\n".join(rows)


class Ablation:
    """
    A plan being played.

    Parameters
    ----------
    bench : Path
        The users' bench.
    sites : dict of str to Path
        Their site files, by the names that the plan gives them.
    folder : Path
        Where the clones go.
    data : Path
        The file of results.
    """

    def __init__(
        self, bench: Path, sites: dict[str, Path], folder: Path, data: Path
    ) -> None:
        self._bench = bench
        self._sites = sites
        self._folder = folder
        self._data = data
        self._commit = _git(ROOT, "rev-parse", "HEAD")

    def known(self) -> list[Result]:
        """Return the results of this commit that the data file holds."""
        if not self._data.exists():
            return []
        lines = self._data.read_bytes().splitlines()
        results = [msgspec.json.decode(line, type=Result) for line in lines]
        return [result for result in results if result.commit == self._commit]

    def prepare(self, mechanism: Mechanism) -> None:
        """Make the clone in which `mechanism` is off."""
        clone = self._clone_of(mechanism.name)
        if not clone.exists():
            _git(ROOT, "clone", "--quiet", str(ROOT), str(clone))
            switch_off(clone, mechanism)
        self._call(clone, ["build"])

    def _clone_of(self, mechanism: str) -> Path:
        """Return where the clone of `mechanism` stands."""
        return self._folder / f"{self._commit[:10]}-{mechanism}"

    def _call(self, clone: Path, arguments: list[str]) -> None:
        """Run the bench once in `clone`."""
        command = [str(self._bench), *arguments]
        subprocess.run(command, cwd=clone, check=True, stdout=subprocess.DEVNULL)

    async def play(self, play: Play) -> None:
        """Play one day and write down what it gave."""
        clone = self._clone_of(play.mechanism)
        report = self._folder / f"{'-'.join(map(str, msgspec.structs.astuple(play)))}"
        arguments = ["run", str(self._sites[play.site]), play.day, "--no-cpu"]
        arguments += ["--report", str(report), "--seed", str(play.seed)]
        arguments += ["--why", f"ablation: {play.mechanism} off, {self._commit[:10]}"]
        await trio.to_thread.run_sync(self._call, clone, arguments)
        found = msgspec.json.decode(report.read_bytes(), type=_Report)
        result = Result(self._commit, play, found.worth, tuple(sorted(found.broken)))
        with self._data.open("ab") as data:
            data.write(msgspec.json.encode(result) + b"\n")

    async def play_all(self, plays: list[Play], jobs: int) -> None:
        """Play what is not known yet, `jobs` at a time."""
        known = {result.play for result in self.known()}
        limiter = trio.CapacityLimiter(jobs)

        async def play_in_turn(play: Play) -> None:
            async with limiter:
                await self.play(play)

        async with trio.open_nursery() as nursery:
            for play in plays:
                if play not in known:
                    nursery.start_soon(play_in_turn, play)


def _git(folder: Path, *arguments: str) -> str:
    """Return what a git command prints."""
    command = ["git", *arguments]
    done = subprocess.run(command, cwd=folder, check=True, capture_output=True)
    return done.stdout.decode().strip()


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
    """Play PLAN with one mechanism off at a time, and print the differences."""
    mechanisms, plays = read_plan(plan.read_text(encoding="utf-8"))
    files = {name: Path(file) for name, _, file in (s.partition("=") for s in sites)}
    folder.mkdir(parents=True, exist_ok=True)
    ablation = Ablation(bench, files, folder, data)
    for mechanism in mechanisms:
        ablation.prepare(mechanism)
    wanted = [play for play in plays if play.site in files]
    trio.run(ablation.play_all, wanted, jobs)
    click.echo(table(list(differences(ablation.known()))))


if __name__ == "__main__":
    main()
