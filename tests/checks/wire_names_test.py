"""Checks that the platform's names stay in platform/: `wire_names_test.py REPOSITORY`."""

import pathlib
import re
import sys
import unittest

ROOT = pathlib.Path(sys.argv.pop(1))
PRODUCT_FOLDERS = ("camphorsail", "daemon", "ctl", "bench")


def names():
    lines = (ROOT / "platform" / "wire_names.txt").read_text(encoding="utf-8").splitlines()
    return [line for line in lines if line and not line.startswith("#")]


def pattern(name):
    """A whole name, in any case, since headers have no case; one in quotes is a whole string."""
    if name.startswith('"'):
        return re.compile(re.escape(name), re.IGNORECASE)
    return re.compile(r"(?<![A-Za-z0-9_-])" + re.escape(name) + (r"(?![A-Za-z0-9_-])" if name[-1].isalnum() else ""),
                      re.IGNORECASE)


def uses(text, patterns):
    return [name for name, compiled in patterns if compiled.search(text)]


class WireNamesTest(unittest.TestCase):
    def test_product_uses_no_wire_name(self):
        patterns = [(name, pattern(name)) for name in names()]
        found = []
        for folder in PRODUCT_FOLDERS:
            for path in sorted((ROOT / folder).rglob("*")):
                if path.suffix in (".cc", ".h"):
                    found += [f"{path.relative_to(ROOT)}: {name}"
                              for name in uses(path.read_text(encoding="utf-8"), patterns)]
        self.assertEqual(found, [])

    def test_every_name_is_used_in_the_adapter(self):
        text = "\n".join(path.read_text(encoding="utf-8") for path in sorted((ROOT / "platform").glob("*.[ch]*")))
        unused = [name for name in names() if not pattern(name).search(text)]
        self.assertEqual(unused, [])

    def test_a_use_is_found(self):
        patterns = [(name, pattern(name)) for name in names()]
        self.assertEqual(uses('headers.Find("tenant-id")', patterns), ["Tenant-Id"])
        self.assertEqual(uses('Add("GET", "/-/config")', patterns), ["/-/"])
        self.assertEqual(uses('Find("credential")', patterns), ['"Credential"'])
        self.assertEqual(uses("int max_attempts = 2;  // the credential of an operator", patterns), [])


if __name__ == "__main__":
    unittest.main()
