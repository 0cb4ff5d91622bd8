"""Renders a timeline as SVG or HTML: one lane per process, time from top to bottom.

Each event has a row of its own, so that labels never overlap. An arrow leads from each cause to
its effect, and a dashed lane stands for a process that was not reached.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from html import escape

from marigolddoor_core.ids import ProcessId
from marigolddoor_core.timeline import Event, EventId, Timeline

from marigolddoor_operator.formatting import (
    duration_text,
    gaps_text,
    printable,
    subject_text,
    time_text,
)

__all__ = ["render_html", "render_svg"]

# Sizes in pixels.
LEFT = 190
LANE_WIDTH = 360
TOP = 92
ROW_HEIGHT = 48
MARGIN = 24
DOT_RADIUS = 6
TEXT_OFFSET = 16
# Characters that fit beside a dot at 12 px, and above a lane at 14 px.
MAX_LABEL = 46
MAX_LANE_NAME = 38

# Colours by the first word of an event's kind; they differ in lightness, too.
COLOURS = {
    "request": "#1f6fb2",
    "claim": "#5aa0d8",
    "target": "#2e8540",
    "move": "#8a5a00",
    "pool": "#b8860b",
    "task": "#6b3fa0",
    "maintenance": "#c2571a",
    "revision": "#00695c",
    "election": "#37474f",
    "member": "#607d8b",
    "question": "#ad1457",
    "process": "#757575",
    "failure": "#c62828",
}
OTHER_COLOUR = "#424242"

STYLE = (
    "text{font-family:system-ui,'DejaVu Sans',sans-serif;font-size:12px;fill:#212121}"
    ".lane{font-size:14px;font-weight:600}.time{fill:#555555}.about{fill:#555555;font-size:11px}"
    ".kind{font-weight:600}.label{stroke:#ffffff;stroke-width:4px;paint-order:stroke}"
)


@dataclass(frozen=True, slots=True)
class _Point:
    x: int
    y: int


def render_svg(timeline: Timeline, title: str) -> str:
    """Return the diagram as an SVG document."""
    lanes = _lanes(timeline)
    count = max(1, len(lanes) + len(timeline.missing))
    width = LEFT + count * LANE_WIDTH + MARGIN
    height = TOP + max(1, len(timeline.events)) * ROW_HEIGHT + MARGIN
    points = {
        event.id: _Point(
            LEFT + lanes[event.process] * LANE_WIDTH, TOP + (row + 1) * ROW_HEIGHT - 24
        )
        for row, event in enumerate(timeline.events)
    }
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" '
        f'viewBox="0 0 {width} {height}" role="img">',
        f"<title>{_escape(title)}</title><style>{STYLE}</style>",
        '<defs><marker id="tip" viewBox="0 0 8 8" refX="7" refY="4" markerWidth="7" '
        'markerHeight="7" orient="auto"><path d="M0 0L8 4L0 8z" fill="#90a4ae"/></marker></defs>',
        f'<rect width="{width}" height="{height}" fill="#ffffff"/>',
        f'<text x="{MARGIN}" y="28" class="lane">{_escape(title)}</text>',
    ]
    for process, lane in lanes.items():
        parts += _lane(process, "", LEFT + lane * LANE_WIDTH, height)
    for i, missing in enumerate(timeline.missing):
        x = LEFT + (len(lanes) + i) * LANE_WIDTH
        parts += _lane(missing.name, f"not reached ({missing.reason})", x, height)
    parts += [_arrow(points[event.cause], points[event.id]) for event in timeline.events
              if event.cause is not None and event.cause in points]  # fmt: skip
    parts += _rows(timeline.events, points, width)
    if not timeline.events:
        parts.append(f'<text x="{MARGIN}" y="{TOP + 24}">no events</text>')
    return "\n".join([*parts, "</svg>", ""])


def render_html(timeline: Timeline, title: str) -> str:
    """Return an HTML page with the diagram, a legend and the gaps."""
    used = sorted({event.kind.value.split()[0] for event in timeline.events})
    legend = " ".join(
        f'<span style="color:{COLOURS.get(kind, OTHER_COLOUR)}">&#9679; {_escape(kind)}</span>'
        for kind in used
    )
    gaps = "".join(
        f'<p class="gap">{_escape(line)}</p>' for line in gaps_text(timeline).splitlines()
    )
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>{_escape(title)}</title><style>body{{font-family:system-ui,sans-serif;margin:24px}}"
        ".gap{color:#c62828}span{margin-right:16px}</style></head>\n<body>"
        f"<p>{legend}</p>{gaps}\n{render_svg(timeline, title)}</body></html>\n"
    )


def _lanes(timeline: Timeline) -> dict[ProcessId, int]:
    names = {process.process for process in timeline.processes}
    names |= {event.process for event in timeline.events}
    return {name: lane for lane, name in enumerate(sorted(names))}


def _lane(name: str, gap: str, x: int, height: int) -> list[str]:
    colour, dashes = ("#c62828", ' stroke-dasharray="4 6"') if gap else ("#b0bec5", "")
    return [
        f'<text x="{x - DOT_RADIUS}" y="56" class="lane">{_escape(_shorten(name, MAX_LANE_NAME))}'
        f"<title>{_escape(name)}</title></text>",
        f'<text x="{x - DOT_RADIUS}" y="72" class="about">{_escape(_shorten(gap))}</text>',
        f'<line x1="{x}" y1="80" x2="{x}" y2="{height - MARGIN}" stroke="{colour}" '
        f'stroke-width="2"{dashes}/>',
    ]


def _rows(events: Sequence[Event], points: dict[EventId, _Point], width: int) -> list[str]:
    parts = []
    previous: Event | None = None
    for event in events:
        point = points[event.id]
        colour = COLOURS.get(event.kind.value.split()[0], OTHER_COLOUR)
        about = _shorten(subject_text(event.subject))
        tooltip = " ".join(
            part for part in (event.id, event.text, subject_text(event.subject)) if part
        )
        x = point.x + TEXT_OFFSET
        parts += [
            f'<line x1="{MARGIN}" y1="{point.y + 24}" x2="{width - MARGIN}" y2="{point.y + 24}" '
            'stroke="#eceff1"/>',
            f'<text x="{MARGIN}" y="{point.y - 2}" class="time">{time_text(event)[11:]}</text>',
            f'<text x="{MARGIN}" y="{point.y + 13}" class="time">{_delta(previous, event)}</text>',
            f'<circle cx="{point.x}" cy="{point.y}" r="{DOT_RADIUS}" fill="{colour}">'
            f"<title>{_escape(tooltip)}</title></circle>",
            f'<text x="{x}" y="{point.y - 10}" class="label kind" style="fill:{colour}">'
            f"{_escape(event.kind.value)}</text>",
            f'<text x="{x}" y="{point.y + 4}" class="label">{_escape(_shorten(event.text))}</text>',
            f'<text x="{x}" y="{point.y + 18}" class="label about">{_escape(about)}</text>',
        ]
        previous = event
    return parts


def _delta(previous: Event | None, event: Event) -> str:
    if previous is None:
        return ""
    delta_ms = event.time.physical_ms - previous.time.physical_ms
    return f"{delta_ms:+d} ms" if abs(delta_ms) < 10_000 else f"+{duration_text(delta_ms / 1000)}"


def _arrow(cause: _Point, effect: _Point) -> str:
    if cause.x == effect.x:
        # A curve beside the lane, since a straight line would be hidden by it.
        path = (
            f"M{cause.x} {cause.y}C{cause.x - 34} {cause.y},{effect.x - 34} {effect.y},"
            f"{effect.x - DOT_RADIUS} {effect.y}"
        )
    else:
        side = -DOT_RADIUS if effect.x > cause.x else DOT_RADIUS
        path = f"M{cause.x} {cause.y}L{effect.x + side} {effect.y}"
    return f'<path d="{path}" fill="none" stroke="#90a4ae" marker-end="url(#tip)"/>'


def _shorten(text: str, length: int = MAX_LABEL) -> str:
    return text if len(text) <= length else text[: length - 1] + "\u2026"


def _escape(text: str) -> str:
    return escape(printable(text))
