"""Writes a study's report: a self-contained HTML file with tables and charts."""

import base64
import html
import io

from .study import compare_paired

TABLE_METRICS = ("service", "worst_kind", "lost", "shed", "rule1", "rule3", "rule4", "rule5")
LIMITATIONS = """<h2>Limitations</h2><p>The days are simulated: endpoints spend time on requests, but do not compute;
the network has delay, jitter, loss and cuts, but unlimited bandwidth; callbacks take no time, so that a controller
without enough CPU is not simulated. The same program runs on sockets; docs/results/lab.md compares both.</p>"""


def chart(results, study, metric, case):
    """Return a chart of a metric in a case, as the data URI of a PNG file.

    Dots are days, thin lines connect days of the same seed, and bars are means with 95% intervals.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    from .study import bootstrap_interval

    combinations = [(variant, policy) for variant in study.variants for policy in study.policies]
    figure, axes = pyplot.subplots(figsize=(max(7.5, 1.1 * len(combinations)), 3.2))
    values_by_combination = [
        results.values_by_seed(study.parameters["name"], metric, case, *combination)
        for combination in combinations
    ]
    for seed in (
        sorted(set.intersection(*(set(values) for values in values_by_combination)))
        if values_by_combination
        else ()
    ):
        axes.plot(
            range(len(combinations)),
            [values[seed] for values in values_by_combination],
            color="0.85",
            linewidth=0.6,
            zorder=1,
        )
    for position, values in enumerate(values_by_combination):
        if values:
            axes.scatter(
                [position] * len(values),
                list(values.values()),
                s=8,
                color="tab:blue",
                alpha=0.4,
                zorder=2,
            )
            mean, low, high = bootstrap_interval(list(values.values()))
            axes.errorbar(
                [position + 0.12],
                [mean],
                [[mean - low], [high - mean]],
                fmt="o",
                color="tab:red",
                capsize=4,
                zorder=3,
            )
    axes.set_xticks(
        range(len(combinations)),
        [f"{variant}\n{policy}" for variant, policy in combinations],
        fontsize=8,
    )
    axes.set_ylabel(metric)
    axes.set_title(case, fontsize=10)
    figure.tight_layout()
    png = io.BytesIO()
    figure.savefig(png, format="png", dpi=110)
    pyplot.close(figure)
    return "data:image/png;base64," + base64.b64encode(png.getvalue()).decode()


def table(results, study, case):
    """Return an HTML table of means, with paired differences to the first combination."""
    combinations = [(variant, policy) for variant in study.variants for policy in study.policies]
    rows = [
        "<tr><th>figure</th><th>"
        + "</th><th>".join(html.escape(f"{variant} / {policy}") for variant, policy in combinations)
        + "</th></tr>"
    ]
    for metric in TABLE_METRICS:
        cells = []
        for combination in combinations:
            values = list(
                results.values_by_seed(
                    study.parameters["name"], metric, case, *combination
                ).values()
            )
            cell = f"{sum(values) / len(values):.4g}" if values else "-"
            difference = (
                compare_paired(
                    results, study.parameters["name"], metric, combinations[0], combination, case
                )
                if combination != combinations[0]
                else None
            )
            if difference:
                mean, low, high, pairs = difference
                cell += f"<br><small>{mean:+.3g} [{low:+.3g}, {high:+.3g}], {pairs} pairs</small>"
            cells.append(cell)
        rows.append(f"<tr><td>{metric}</td><td>" + "</td><td>".join(cells) + "</td></tr>")
    return "<table>" + "".join(rows) + "</table>"


def write_report(results, study, path):
    """Write the report of a study to a file."""
    parameters = study.parameters
    sections = [
        f"<h1>{html.escape(parameters['name'])}</h1><p>{html.escape(parameters['question'])}</p>",
        f"<p>{parameters['seeds']} seeds per cell; differences are to the first column, paired by seed, with 95% "
        "bootstrap intervals.</p>",
    ]
    for case in study.cases:
        sections.append(f"<h2>{html.escape(case)}</h2>{table(results, study, case)}")
        sections += [
            f"<img src='{chart(results, study, metric, case)}'>" for metric in ("service", "rule4")
        ]
    problem_cells = results.cells_with_problems(parameters["name"])
    sections.append(
        f"<h2>Rules broken or errors: {len(problem_cells)} days</h2><ul>"
        + "".join(
            f"<li>{html.escape(cell)}: {html.escape(problems[:300])}</li>"
            for cell, problems in problem_cells[:50]
        )
        + "</ul>"
    )
    css = "body{font:14px sans-serif;max-width:60em;margin:2em}td,th{padding:3px 9px;border-bottom:1px solid #ddd}"
    with open(path, "w", encoding="utf-8") as file:
        file.write(
            f"<!doctype html><meta charset=utf-8><title>{html.escape(parameters['name'])}</title>"
            f"<style>{css}</style>{''.join(sections)}{LIMITATIONS}"
        )
