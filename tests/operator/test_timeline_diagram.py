"""Guards against diagrams that a browser rejects, that hide a gap, or whose labels overlap."""

from xml.etree import ElementTree

import testtools
from marigolddoor_core.ids import ProcessId, VmId
from marigolddoor_core.timeline import (
    EventKind,
    MissingProcess,
    Recorder,
    Subject,
    Timeline,
    TimelineFilter,
    merge,
)
from marigolddoor_operator.formatting import event_text
from marigolddoor_operator.timeline_diagram import LANE_WIDTH, render_html, render_svg

SVG = "{http://www.w3.org/2000/svg}"
# An upper bound for the mean width of a character at 12 px in common sans-serif fonts.
CHARACTER_PX = 7.2


def chained_timeline(text: str, count: int = 3) -> Timeline:
    """Return a timeline of two processes in which every event causes the next."""
    recorders = [Recorder(ProcessId("control-1")), Recorder(ProcessId("entry-1"))]
    cause = None
    for i in range(count):
        cause = recorders[i % 2].record(
            EventKind.MOVE_BEGUN, 1000 * i, Subject(vm=VmId(text)), text, cause
        )
    missing = [MissingProcess("127.0.0.1:7003", "no connection")]
    return merge([recorder.fetch(TimelineFilter()) for recorder in recorders], missing)


class TimelineDiagramTest(testtools.TestCase):
    """Guards against text that breaks a document, and labels that leave their lane or row."""

    scenarios = [
        ("plain", {"text": "vm-2 drains", "count": 3}),
        ("markup", {"text": "</svg><script>alert('x')</script>&\"", "count": 3}),
        ("control characters", {"text": "a\x00b\x1b[2Jc\ud800", "count": 3}),
        ("long", {"text": "x" * 500, "count": 3}),
        ("nothing", {"text": "", "count": 0}),
        ("many", {"text": "event", "count": 200}),
    ]

    def test_svg(self) -> None:
        root = ElementTree.fromstring(
            render_svg(chained_timeline(self.text, self.count), self.text)
        )
        self.assertEqual(self.count, len(root.findall(f"{SVG}circle")))
        arrows = root.findall(f"{SVG}path")
        self.assertEqual(max(0, self.count - 1), len(arrows))
        shown = " ".join("".join(part.itertext()) for part in root.iter(f"{SVG}text"))
        self.assertIn("not reached (no connection)", shown)
        labels = [part for part in root.iter(f"{SVG}text") if "label" in part.get("class", "")]
        positions = [(part.get("x"), part.get("y")) for part in labels]
        self.assertEqual(len(set(positions)), len(positions))
        for label in labels:
            self.assertLess(len(label.text or "") * CHARACTER_PX, LANE_WIDTH)

    def test_html(self) -> None:
        page = render_html(chained_timeline(self.text, self.count), self.text)
        self.assertNotIn("<script", page)
        self.assertIn("127.0.0.1:7003 was not reached", page)

    def test_terminal(self) -> None:
        for event in chained_timeline(self.text, self.count).events:
            self.assertTrue(event_text(event).removesuffix("\n").isprintable())
