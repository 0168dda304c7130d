"""The lab against loopback sockets: the same day scripts on both, side by side.

`python -m peatlead.benchmarks.reality FOLDER [WORKERS]`, where FOLDER is what `peatlead kinds --out FOLDER` left.
"""

import json
import multiprocessing
import sys
from pathlib import Path

from ..lab.day import play_day
from ..scenario.kinds import BASE, CASES
from ..scenario.script import load_day


def one(name):
    made = load_day(name, BASE + CASES[name])
    played = play_day(made, made["day"]["seed"])
    return (
        name,
        played.report.service["whole"]["part"],
        [f.nearest for f in played.report.findings],
        played.finds,
    )


def main():
    folder, workers = Path(sys.argv[1]), int(sys.argv[2]) if len(sys.argv) > 2 else None
    print(
        "| trouble | sockets | lab | less | rules 1 to 5, sockets | lab |\n| --- | --- | --- | --- | --- | --- |"
    )
    with multiprocessing.get_context("spawn").Pool(workers) as pool:
        for name, service, nearest, finds in pool.imap(one, CASES):
            path = folder / name.replace(" ", "-").replace(",", "") / "shards" / "report.json"
            if not path.exists():
                continue
            real = json.loads(path.read_text())
            whole = real["service"]["whole"]["part"]
            print(
                f"| {name} | {whole:.3f} | {service:.3f} | {service - whole:+.3f} | "
                + ", ".join(f"{r['nearest']:.2f}" for r in real["rules"].values())
                + " | "
                + ", ".join(f"{n:.2f}" for n in nearest)
                + (" !" if finds else "")
                + " |",
                flush=True,
            )


if __name__ == "__main__":
    main()
