"""Measures and their regression bounds."""

import configparser
import json
from dataclasses import dataclass
from pathlib import Path

BOUNDS_PATH = Path(__file__).parent / "bounds.ini"


@dataclass(frozen=True)
class Measure:
    """One measured figure."""

    name: str
    value: float
    unit: str


def read_bounds(path: Path = BOUNDS_PATH) -> configparser.ConfigParser:
    """Return the committed bounds, one section for each measure."""
    bounds = configparser.ConfigParser()
    bounds.read(path)
    return bounds


def check_bounds(measure: Measure, bounds: configparser.ConfigParser) -> list[str]:
    """Return a message for each bound that `measure` breaks."""
    if not bounds.has_section(measure.name):
        return []
    section = bounds[measure.name]
    problems = []
    if "at_most" in section and measure.value > section.getfloat("at_most"):
        problems.append(f"{measure.name} is {measure.value:.4g}, over its bound")
    if "at_least" in section and measure.value < section.getfloat("at_least"):
        problems.append(f"{measure.name} is {measure.value:.4g}, under its bound")
    return problems


def print_line(measure: Measure) -> None:
    """Print `measure` as one JSON line."""
    line = {"measure": measure.name, "value": measure.value, "unit": measure.unit}
    print(json.dumps(line), flush=True)
