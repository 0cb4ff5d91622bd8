"""The scenario files and their golden timelines."""

from pathlib import Path

from marigolddoor_standins.scenarios import parse, run

FOLDER = Path(__file__).resolve().parent
FILES = sorted(FOLDER.glob("*.scenario"))


def golden_file(file: Path) -> Path:
    """Return the golden file of a scenario."""
    return FOLDER / "golden" / f"{file.stem}.txt"


def run_to_timeline(file: Path) -> str:
    """Run a scenario and return its timeline."""
    return "\n".join(run(parse(file.read_text())).timeline) + "\n"
