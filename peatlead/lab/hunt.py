"""Seeds by the thousand until a rule, an invariant or an exception shows; then the day cut down to what matters."""

import multiprocessing
import time
from typing import NamedTuple

from .day import play_day
from .random_scenario import as_script, draw_scenario

MOST_FINDS = 5  # a hunt ends after so many


class FailingSeed(NamedTuple):
    seed: int
    kind: str
    problems: list
    digest: str
    script: str


def symptoms(finds):
    """What has to show again for a smaller day to count as the same find: the rule, or the error's type."""
    return {
        one.split(":")[0] if one.startswith("rule") else one.split(" s in ")[-1].split("(")[0]
        for one in finds
    }


def look(job):
    """(seed, finds, digest, events, real seconds) of one seed."""
    seed, kind, length = job
    start = time.perf_counter()
    played = play_day(draw_scenario(seed, kind, length), seed)
    return seed, played.problems, played.digest, played.events, time.perf_counter() - start


def search_seeds(
    seeds, kind, length=20.0, workers=None, say=print, most=MOST_FINDS, step=lambda done, note: None
):
    """([Find], seeds played): each find is cut down and replayed before it is told. `step(done, note)` is called
    after each seed."""
    found, done, start = [], 0, time.perf_counter()
    with multiprocessing.get_context("spawn").Pool(workers) as pool:
        for seed, finds, digest, _, _ in pool.imap_unordered(
            look, ((seed, kind, length) for seed in seeds)
        ):
            done += 1
            step(
                done,
                note := f"{len(found)} finds, {done / (time.perf_counter() - start):.1f} a second",
            )
            if done % 100 == 0:
                say(f"{done} seeds, {note}")
            if finds:
                say(f"seed {seed} ({kind}): {finds[0]}")
                found.append(FailingSeed(seed, kind, finds, digest, ""))
                if len(found) >= most:
                    pool.terminate()
                    break
    return [
        one._replace(
            script=as_script(shrink(draw_scenario(one.seed, kind, length), one.seed, one.problems))
        )
        for one in sorted(found)
    ], done


def shrink(made, seed, finds, play=play_day, tries=60):
    """The day with as few troubles, and as short, as still shows the same symptom."""
    wanted = symptoms(finds)

    def shows(candidate):
        return bool(wanted & symptoms(play(candidate, seed).problems))

    size = max(1, len(made["troubles"]) // 2)
    while size and tries > 0:
        at, smaller = 0, False
        while at < len(made["troubles"]) and tries > 0:
            candidate = {**made, "troubles": made["troubles"][:at] + made["troubles"][at + size :]}
            tries -= 1
            if shows(candidate):
                made, smaller = candidate, True
            else:
                at += size
        size = size // 2 if not smaller or size > 1 else 0
    for part in (0.5, 0.7, 0.85):
        shorter = {**made, "day": {**made["day"], "length": round(made["day"]["length"] * part, 1)}}
        if shows(shorter):
            return shorter
    return made
