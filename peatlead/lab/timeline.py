"""A day's rows as a story of one req, one agent or view, or one host. Pure."""


def touches(row, what):
    """Whether a row is about a req, an agent, a view, a host's name or an address."""
    return any(
        value == what
        or isinstance(value, (list, tuple))
        and what in value
        or isinstance(value, dict)
        and what in value
        for value in row.fields.values()
    )


def timeline(rows, what, logs=(), most=400):
    """[text] a line a row, by time; stewards' log lines that name it among them."""
    start = min((row.due for row in rows if row.kind == "req"), default=0.0)
    lines = [(row.at, told(row, what)) for row in rows if touches(row, what)]
    lines += [
        (at, f"{name}: {event} {fields}")
        for at, name, event, fields in logs
        if what in str(fields.get("text", "")).split() or what in fields.values()
    ]
    lines.sort()
    shown = [f"{at - start:9.3f}  {text}" for at, text in lines[:most]]
    return shown + ([f"... and {len(lines) - most} more"] if len(lines) > most else [])


def told(row, what):
    fields = {name: value for name, value in row.fields.items() if value != what}
    if row.kind == "list":
        fields = {"version": row.version, what: row.hosts.get(what), "told": row.told}
    return f"{row.kind:8} " + " ".join(f"{name}={value}" for name, value in fields.items())
