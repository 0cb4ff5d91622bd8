"""The scenario files and their golden time lines."""

from pathlib import Path

from marigolddoor_standins.scenarios import parse, run

FOLDER = Path(__file__).resolve().parent
FILES = sorted(FOLDER.glob("*.scenario"))


def golden_of(file: Path) -> Path:
    """Return the golden file of a scenario."""
    return FOLDER / "golden" / f"{file.stem}.txt"


def timeline_of(file: Path) -> str:
    """Run a scenario and return its time line."""
    return "\n".join(run(parse(file.read_text())).timeline) + "\n"
