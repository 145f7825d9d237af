"""The arithmetic of docs/CAPACITY.md holds, and scripts/capacity --check notices when it does not."""
import re
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]
PAGE = (ROOT / "docs" / "CAPACITY.md").read_text()
DERIVED = re.compile(r"^\| `(\w+)` \| ([0-9.,]+) \|(.*\| = .*)$", re.MULTILINE)


def check(text):
    with tempfile.NamedTemporaryFile("w", suffix=".md") as page:
        page.write(text)
        page.flush()
        return subprocess.run([sys.executable, ROOT / "scripts" / "capacity", "--check", page.name],
                              capture_output=True, check=False).returncode


class CapacityPage(unittest.TestCase):
    def test_page_holds(self):
        self.assertEqual(check(PAGE), 0)

    def test_each_derived_figure_is_checked(self):
        rows = list(DERIVED.finditer(PAGE))
        self.assertGreater(len(rows), 30)
        for row in rows:
            wrong = f"{float(row[2].replace(',', '')) * 1.2:.9f}"
            changed = PAGE.replace(row[0], f"| `{row[1]}` | {wrong} |{row[3]}")
            self.assertEqual(check(changed), 1, row[1])

    def test_a_given_figure_carries_through(self):
        self.assertEqual(check(PAGE.replace("| `daemons` | 420 |", "| `daemons` | 430 |")), 1)

    def test_faulty_rows_are_refused(self):
        for source in ("= unknown + 1", "= daemons.real", "= 1 / 0", "guessed"):
            self.assertEqual(check(PAGE + f"| `added` | 1 | things | {source} |\n"), 1, source)

    def test_a_page_without_figures_is_refused(self):
        self.assertEqual(check("# Capacity\n"), 1)


if __name__ == "__main__":
    unittest.main()
