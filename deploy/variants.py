#!/usr/bin/env python3
"""Writes two variants of the given deployments to deploy/sites/, for plays of the bench; needs ../given.

`narrow`: other names, one op type once-only, one deduplicated within its shard, short times.
`uneven`: limits on plans, very unequal shares and costs.
What is given stays out of the repository: deploy/sites/ is ignored by git.
"""

import re
import shutil
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KIT = ROOT.parent / "given" / "kit"
SITES = ROOT / "deploy" / "sites"
NODE, OTHER = KIT / "more" / "node" / "sites", KIT / "more" / "mass" / "other"

# By table of the site file, in the order they stand there: fields to set in each.
VARIANTS = {
    "narrow": (
        NODE / "pasila-main.toml",
        {
            "class": [
                {"name": '"peek"', "aim_ms": 200, "deadline_ms": 800},
                {"name": '"append"', "aim_ms": 300, "deadline_ms": 1200, "effect": '"unsafe"'},
                {
                    "name": '"rollup"',
                    "aim_ms": 800,
                    "deadline_ms": 2400,
                    "effect": '"keyed"',
                    "group": '"cell"',
                    "window_ms": 600,
                },
            ],
            "tenant": [{"name": '"tin"'}, {"name": '"brass"'}, {"name": '"steel"'}],
        },
    ),
    "uneven": (
        OTHER / "macon-main.toml",
        {
            "class": [
                {"name": '"fetch"', "share": 0.78, "worth": 1, "work_ms": "[10, 18]"},
                {
                    "name": '"commit"',
                    "share": 0.17,
                    "worth": 9,
                    "effect": '"keyed"',
                    "group": '"all"',
                    "window_ms": 1500,
                },
                {"name": '"dump"', "share": 0.05, "worth": 2, "work_ms": "[150, 260]"},
            ],
            "tenant": [
                {"name": '"mass"', "share": 0.8},
                {"name": '"mid"', "share": 0.15},
                {"name": '"few"', "share": 0.05},
            ],
            "fam.plan": [
                {"limit": 1.5, "burst_s": 1},
                {"limit": 2, "burst_s": 2, "reserve": 0.5},
                {"limit": 3, "burst_s": 1, "reserve": 1, "weight": 20},
            ],
        },
    ),
}


def set_fields(table: str, fields: dict) -> str:
    for name, value in fields.items():
        line = f"{name} = {value}"
        table, found = re.subn(rf"(?m)^{name} *=.*$", line, table)
        if not found:
            table = f"{table.rstrip()}\n{line}\n\n"
    return table


def derive(name: str, source: Path, changes: dict) -> str:
    seen = dict.fromkeys(changes, 0)
    parts = re.split(r"(?m)^(?=\[)", source.read_text())
    # A stock would draw the days of the site it was derived from.
    parts[0] = re.sub(r"(?m)^stock *=.*\n", "", set_fields(parts[0], {"name": f'"{name}"'}))
    for at, part in enumerate(parts):
        head = re.match(r"\[\[([\w.]+)\]\]", part)
        if head and (table := head[1]) in changes:
            parts[at] = set_fields(part, changes[table][seen[table]])
            seen[table] += 1
    for table, fields in changes.items():
        if seen[table] != len(fields):
            sys.exit(f"{source}: {seen[table]} tables [[{table}]], {len(fields)} wanted")
    return "".join(parts)


def main() -> None:
    missing = [str(file) for file, _ in VARIANTS.values() if not file.is_file()]
    missing += [str(NODE / file) for file in ("real.json", "wire.json") if not (NODE / file).is_file()]
    if missing:
        sys.exit("missing, the variants are derived from it: " + ", ".join(missing))
    for name, (source, changes) in VARIANTS.items():
        folder = SITES / name
        folder.mkdir(parents=True, exist_ok=True)
        for file in ("real.json", "wire.json", "unlock.txt"):
            if (source.parent / file).is_file():
                shutil.copyfile(source.parent / file, folder / file)
        (folder / f"{name}.toml").write_text(derive(name, source, changes))
        print(folder / f"{name}.toml")


main()
