"""JSON summary of an edge balancer; imported by the first request."""

import json
from dataclasses import asdict

from balsamshed.edge.summaries import summarize_edge
from balsamshed.front_ends.edge_context import EdgeProcess, read_clock


def render_summary(process: EdgeProcess) -> bytes:
    """Return the JSON document that `edge-status` reads."""
    summary = summarize_edge(process.edge, process.settings.name, read_clock())
    return json.dumps(asdict(summary)).encode()
