"""Lists the recorded rows of a day that mention one request, proxy, view or endpoint. No I/O."""


def mentions(row, subject):
    """Return whether a field of a row is or contains the subject.

    The subject is a request, a proxy, a view, the name of an endpoint or an address.
    """
    return any(
        value == subject
        or isinstance(value, (list, tuple))
        and subject in value
        or isinstance(value, dict)
        and subject in value
        for value in row.fields.values()
    )


def timeline(rows, subject, logs=(), max_lines=400):
    """Return one line of text per row or log message that mentions the subject, by time.

    Times are seconds since the first request was due. At most `max_lines` lines are returned, and then
    a line with the number of omitted ones.
    """
    start = min((row.due for row in rows if row.kind == "req"), default=0.0)
    lines = [(row.at, describe(row, subject)) for row in rows if mentions(row, subject)]
    lines += [
        (at, f"{name}: {event} {fields}")
        for at, name, event, fields in logs
        if subject in str(fields.get("text", "")).split() or subject in fields.values()
    ]
    lines.sort()
    shown_lines = [f"{at - start:9.3f}  {text}" for at, text in lines[:max_lines]]
    return shown_lines + (
        [f"... and {len(lines) - max_lines} more"] if len(lines) > max_lines else []
    )


def describe(row, subject):
    """Return a row as text: its kind, and its fields except the subject itself."""
    fields = {name: value for name, value in row.fields.items() if value != subject}
    if row.kind == "list":
        fields = {"version": row.version, subject: row.hosts.get(subject), "told": row.told}
    return f"{row.kind:8} " + " ".join(f"{name}={value}" for name, value in fields.items())
