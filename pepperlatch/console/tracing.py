"""Trace spans of a sample of jobs, made from a job's time line when the job is over. Uses the OpenTelemetry SDK.

A job's trace id is derived from its id, so every node samples the same jobs, and spans from several leaders belong to
one trace. Each span is one log line (logger `pepperlatch.trace`) in the SDK's JSON form, so whatever ships the log also
ships the traces. Imported only if tracing is on.
"""

import hashlib
import logging
from collections.abc import Sequence

from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor, SpanExporter, SpanExportResult
from opentelemetry.sdk.trace.id_generator import RandomIdGenerator
from opentelemetry.sdk.trace.sampling import TraceIdRatioBased

from pepperlatch.console.history import Event

log = logging.getLogger("pepperlatch.trace")
_SPAN_KINDS = ("reason", "waits", "gap")  # events that last until the next event of these kinds, or the job's end


class _JobTraceIds(RandomIdGenerator):
    """Derives the trace id from `job_id`, which is set before each trace."""

    job_id = ""

    def generate_trace_id(self) -> int:
        return int.from_bytes(hashlib.blake2b(self.job_id.encode("utf-8"), digest_size=16).digest(), "big")


class _LogExporter(SpanExporter):
    """Writes each span to the log."""

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        for span in spans:
            log.info("%s", span.to_json(indent=None))
        return SpanExportResult.SUCCESS


class JobTracer:
    """Exports the traces of a sample of the jobs. `share`: of all jobs, from 0 to 1. Keeps no state between jobs."""

    def __init__(self, node: str, share: float) -> None:
        log.setLevel(logging.INFO)  # traces are written at any LOG_LEVEL
        self._ids = _JobTraceIds()
        resource = Resource({"service.name": "pepperlatch", "service.instance.id": node})
        provider = TracerProvider(
            TraceIdRatioBased(share), resource, shutdown_on_exit=False, id_generator=self._ids
        )  # fmt: skip
        provider.add_span_processor(SimpleSpanProcessor(_LogExporter()))
        self._tracer = provider.get_tracer("pepperlatch")

    def export_job(self, job_id: str, line: Sequence[Event]) -> None:
        """Export the finished job's spans: one for the job, one for each reason, wait and gap, the rest as events.

        Called by the recorder when the job is over.
        """
        if not line:
            return
        self._ids.job_id = job_id
        root = self._tracer.start_span(
            "job", Context(), start_time=_nanoseconds(line[0].at), attributes={"job": job_id}
        )
        if not root.is_recording():
            return
        end = line[-1].at
        inside = trace.set_span_in_context(root, Context())
        for n, event in enumerate(line):
            if event.what in _SPAN_KINDS:
                until = next((later.at for later in line[n + 1 :] if later.what in (*_SPAN_KINDS, "over")), end)
                part = self._tracer.start_span(
                    event.what, inside, start_time=_nanoseconds(event.at), attributes=_attributes(event)
                )
                part.end(_nanoseconds(max(until, event.at)))
            else:
                root.add_event(event.what, _attributes(event), _nanoseconds(event.at))
        root.end(_nanoseconds(end))


def _nanoseconds(at: float) -> int:
    return int(at * 1e9)


def _attributes(event: Event) -> dict[str, str | int]:
    found: dict[str, str | int] = {"count": event.count}
    if event.text:
        found["text"] = event.text
    if event.subject:
        found["machine"] = event.subject
    return found
