"""Guards against declaration keys that the operators' page omits or describes wrongly."""

import tomllib
from pathlib import Path

import testtools
from marigolddoor_core.declaration import DeclarationError, Effect, read_declaration
from marigolddoor_core.declaration.schema import SECTIONS, SINGLE_SECTIONS

PAGE = Path(__file__).resolve().parents[3] / "docs" / "operators" / "declarations.md"


class DocumentedKeysTest(testtools.TestCase):
    """Each section of the page lists exactly the keys that the reader accepts."""

    scenarios = [
        (section, {"section": section, "keys": keys})
        for section, keys in (SECTIONS | SINGLE_SECTIONS).items()
    ]

    def test_keys(self) -> None:
        text = PAGE.read_text().split(f"\n### {self.section.title()}\n")[1].split("\n#")[0]
        rows = {line.split("`")[1]: line for line in text.splitlines() if line.startswith("| `")}
        self.assertEqual([key.name for key in self.keys], list(rows))
        for key in self.keys:
            self.assertEqual(key.required, "| required |" in rows[key.name], key.name)
            if self.section != "weights":
                self.assertIn(f"| {key.type.value} |", rows[key.name])


class DocumentedPlanTest(testtools.TestCase):
    """Every plan effect is documented."""

    scenarios = [(effect.value, {"effect": effect}) for effect in Effect]

    def test_effect(self) -> None:
        self.assertIn(f"`{self.effect.value}`", PAGE.read_text().split("## The plan")[1])


class DocumentedProblemsTest(testtools.TestCase):
    """The sample problems on the page are those that the reader reports."""

    def test_problems(self) -> None:
        text = PAGE.read_text()
        organisation, template = (
            tomllib.loads(block.split("```")[0]) for block in text.split("```toml\n")[1:]
        )
        organisation["parameters"] = {"web_flor": 5}
        organisation["overrides"] = {}
        template["pools"]["web"]["floor"] = 7
        template["pools"]["web"]["spare"] = True
        template["jobs"] = {"report": {"pool": "web", "team": "shop", "cores": 1, "memory_mb": 1}}
        template["teams"] = {"shop": {"slots": 1, "cores": 1}}
        template["services"] = {"orders": {"pool": "web", "idempotent": True, "floor_slots": 1}}
        del template["parameters"]["web_floor"]["maximum"]
        template["services"]["orders"]["floor_slots"] = "${web_floor}"
        error = self.assertRaises(
            DeclarationError,
            read_declaration,
            organisation,
            template,
            "organisation.toml",
            "template.toml",
        )
        shown = text.split("## Problems")[1].split("```")[1].strip()
        self.assertEqual(set(shown.splitlines()), set(str(error).splitlines()))
