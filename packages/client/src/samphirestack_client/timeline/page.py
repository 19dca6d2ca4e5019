"""The timeline as one self-contained HTML page."""

from collections.abc import Sequence
import datetime
import html

from samphirestack_client.timeline import events as event_types

_HEAD = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Timeline</title><style>
body{font:13px/1.4 system-ui,sans-serif;margin:1rem}
input{font:inherit;width:24rem;margin-bottom:.5rem}
table{border-collapse:collapse}
th{position:sticky;top:0;background:#fff;text-align:left}
th,td{padding:1px 8px;vertical-align:top;border-left:1px solid #ccc}
td.clock,td.at{color:#666;font-variant-numeric:tabular-nums;white-space:nowrap}
tr:hover td{background:#eef4fb}
b{font-weight:600}small{color:#444}
</style></head><body>
<label>Show rows that contain <input id="filter"></label>
<table><thead><tr><th>clock</th><th>time</th>"""
_TAIL = """</tbody></table><script>
const input = document.getElementById('filter');
input.addEventListener('input', () => {
  for (const row of document.querySelectorAll('tbody tr')) {
    row.hidden = !row.textContent.includes(input.value);
  }
});
</script></body></html>
"""


def render(found: Sequence[event_types.Event]) -> str:
    """Return the page; it has a column for each process.

    :param found: events in causal order.
    """
    nodes = sorted({event.node for event in found})
    parts = [_HEAD]
    parts += [f'<th>{html.escape(node)}</th>' for node in nodes]
    parts.append('</tr></thead><tbody>\n')
    parts += [_row(event, nodes) for event in found]
    parts.append(_TAIL)
    return ''.join(parts)


def _row(event: event_types.Event, nodes: Sequence[str]) -> str:
    cells = [
        f'<td class="clock">{event.clock}</td>',
        f'<td class="at">{html.escape(_format_time(event.at_s))}</td>',
    ]
    cells += [
        f'<td>{_event_html(event)}</td>' if node == event.node else '<td></td>'
        for node in nodes
    ]
    return f'<tr>{"".join(cells)}</tr>\n'


def _event_html(event: event_types.Event) -> str:
    fields = ' '.join(f'{key}={val}' for key, val in event.fields.items())
    return (
        f'<b>{html.escape(event.kind)}</b> '
        f'<small>{html.escape(fields)}</small>'
    )


def _format_time(at_s: float) -> str:
    try:
        moment = datetime.datetime.fromtimestamp(at_s, datetime.UTC)
    except (ValueError, OverflowError, OSError):
        return str(at_s)
    return moment.strftime('%H:%M:%S.%f')[:-3]
