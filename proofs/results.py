"""Results of the proofs, and the recorder of their checks."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class ProofResult:
    """
    Result of one promise under one fault: a row of the printed table.

    Parameters
    ----------
    promise : str
        The property that must hold.
    fault : str
        The fault during which the promise had to hold.
    cases : int
        Number of checks made.
    violations : tuple of str
        Description of every check that failed.
    availability : str
        Summary of what was served during the fault, or ``-``.
    """

    promise: str
    fault: str
    cases: int
    violations: tuple[str, ...] = ()
    availability: str = "-"


@dataclass
class Checker:
    """Counts the checks of one proof and stores those that failed."""

    cases: int = 0
    violations: list[str] = field(default_factory=list)

    def check(self, holds: bool, description: str) -> None:
        """Count a check, and store `description` as a violation unless `holds`."""
        self.cases += 1
        if not holds:
            self.violations.append(description)
