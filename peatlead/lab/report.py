"""A study's report: one HTML file that stands alone, with tables and charts."""

import base64
import html
import io

from .study import compare_paired

SHOWN = ("service", "worst_kind", "lost", "shed", "rule1", "rule3", "rule4", "rule5")
LIMITS = """<h2>How far to trust this</h2><p>Simulated: hosts' work is time, not computation; the network has delay,
jitter, loss and cuts but no bandwidth; processes cost no time of their own, so a steward that is short of CPU is not
seen here. The same program runs on sockets; docs/results/lab.md lays both side by side.</p>"""


def chart(results, study, figure, case):
    """A PNG as a data URI: each cell's days as dots, paired lines thin, means with 95% intervals."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    from .study import bootstrap_interval

    ways = [(variant, policy) for variant in study.variants for policy in study.policies]
    drawing, place = pyplot.subplots(figsize=(max(7.5, 1.1 * len(ways)), 3.2))
    columns = [results.values_by_seed(study.parameters["name"], figure, case, *way) for way in ways]
    for seed in sorted(set.intersection(*(set(one) for one in columns))) if columns else ():
        place.plot(
            range(len(ways)), [one[seed] for one in columns], color="0.85", linewidth=0.6, zorder=1
        )
    for at, one in enumerate(columns):
        if one:
            place.scatter(
                [at] * len(one), list(one.values()), s=8, color="tab:blue", alpha=0.4, zorder=2
            )
            mean, low, high = bootstrap_interval(list(one.values()))
            place.errorbar(
                [at + 0.12],
                [mean],
                [[mean - low], [high - mean]],
                fmt="o",
                color="tab:red",
                capsize=4,
                zorder=3,
            )
    place.set_xticks(
        range(len(ways)), [f"{variant}\n{policy}" for variant, policy in ways], fontsize=8
    )
    place.set_ylabel(figure)
    place.set_title(case, fontsize=10)
    drawing.tight_layout()
    out = io.BytesIO()
    drawing.savefig(out, format="png", dpi=110)
    pyplot.close(drawing)
    return "data:image/png;base64," + base64.b64encode(out.getvalue()).decode()


def table(results, study, case):
    """Paired differences to the first variant and policy."""
    ways = [(variant, policy) for variant in study.variants for policy in study.policies]
    rows = [
        "<tr><th>figure</th><th>"
        + "</th><th>".join(html.escape(f"{variant} / {policy}") for variant, policy in ways)
        + "</th></tr>"
    ]
    for figure in SHOWN:
        cells = []
        for way in ways:
            values = list(
                results.values_by_seed(study.parameters["name"], figure, case, *way).values()
            )
            said = f"{sum(values) / len(values):.4g}" if values else "-"
            difference = (
                compare_paired(results, study.parameters["name"], figure, ways[0], way, case)
                if way != ways[0]
                else None
            )
            if difference:
                mean, low, high, many = difference
                said += f"<br><small>{mean:+.3g} [{low:+.3g}, {high:+.3g}], {many} pairs</small>"
            cells.append(said)
        rows.append(f"<tr><td>{figure}</td><td>" + "</td><td>".join(cells) + "</td></tr>")
    return "<table>" + "".join(rows) + "</table>"


def write_report(results, study, path):
    head = study.parameters
    parts = [
        f"<h1>{html.escape(head['name'])}</h1><p>{html.escape(head['question'])}</p>",
        f"<p>{head['seeds']} seeds a cell; differences are to the first column, paired by seed, with 95% "
        "bootstrap intervals.</p>",
    ]
    for case in study.cases:
        parts.append(f"<h2>{html.escape(case)}</h2>{table(results, study, case)}")
        parts += [
            f"<img src='{chart(results, study, figure, case)}'>" for figure in ("service", "rule4")
        ]
    broken = results.cells_with_problems(head["name"])
    parts.append(
        f"<h2>Rules broken or errors: {len(broken)} days</h2><ul>"
        + "".join(
            f"<li>{html.escape(cell)}: {html.escape(finds[:300])}</li>"
            for cell, finds in broken[:50]
        )
        + "</ul>"
    )
    style = "body{font:14px sans-serif;max-width:60em;margin:2em}td,th{padding:3px 9px;border-bottom:1px solid #ddd}"
    with open(path, "w", encoding="utf-8") as file:
        file.write(
            f"<!doctype html><meta charset=utf-8><title>{html.escape(head['name'])}</title>"
            f"<style>{style}</style>{''.join(parts)}{LIMITS}"
        )
