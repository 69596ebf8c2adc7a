"""Our own variants of a site, laid out to be played: `python -m benchmarks.sites --dialect FOLDER --out FOLDER`.

A bench wants a site file with the dialect's files beside it (wire.json, real.json, unlock.txt). Those are the
platform's and not in this repository: `--dialect` names the folder that has them. Prints the path of each site.
"""

from __future__ import annotations

import shutil
from pathlib import Path

import click

DIALECT = ("wire.json", "real.json")
UNLOCK = "unlock.txt"
SITES = Path(__file__).resolve().parent.parent / "deploy" / "sites"


@click.command()
@click.option("--dialect", required=True, type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--unlock", "unlocks", multiple=True, type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--out", required=True, type=click.Path(file_okay=False, path_type=Path))
def main(dialect: Path, unlocks: tuple[Path, ...], out: Path) -> None:
    """Lay out each variant of deploy/sites with the dialect's files beside it."""
    for site in sorted(SITES.glob("*/site.toml")):
        folder = out / site.parent.name
        folder.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(site, folder / site.name)
        for name in DIALECT:
            shutil.copyfile(dialect / name, folder / name)
        lines = [path.read_text(encoding="utf-8") for path in (dialect / UNLOCK, *unlocks)]
        (folder / UNLOCK).write_text("".join(lines), encoding="utf-8")
        click.echo(folder / site.name)


if __name__ == "__main__":
    main()
