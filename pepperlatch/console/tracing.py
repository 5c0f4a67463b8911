"""Spans of a sample of jobs, made from their time lines when they are over; on the usual library, imported if it is on.

A job's trace id follows from its id, so which jobs are in the sample is the same at every node, and spans of several
leaders would belong to one trace. Each span is one line of the log (logger `trace`), as the library writes spans; what
ships the log ships the traces.
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
_SPAN_KINDS = ("reason", "waits", "gap")  # what lasts until the next of these, or the end


class _JobTraceIds(RandomIdGenerator):
    """The next trace's id is the job's."""

    job_id = ""

    def generate_trace_id(self) -> int:
        return int.from_bytes(hashlib.blake2b(self.job_id.encode("utf-8"), digest_size=16).digest(), "big")


class _LogExporter(SpanExporter):
    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        for span in spans:
            log.info("%s", span.to_json(indent=None))
        return SpanExportResult.SUCCESS


class JobTracer:
    """`share`: of the jobs, from 0 to 1. Nothing is kept between two jobs."""

    def __init__(self, node: str, share: float) -> None:
        log.setLevel(logging.INFO)  # who switches it on wants it at any LOG_LEVEL
        self._ids = _JobTraceIds()
        resource = Resource({"service.name": "pepperlatch", "service.instance.id": node})
        provider = TracerProvider(
            TraceIdRatioBased(share), resource, shutdown_on_exit=False, id_generator=self._ids
        )  # fmt: skip
        provider.add_span_processor(SimpleSpanProcessor(_LogExporter()))
        self._tracer = provider.get_tracer("pepperlatch")

    def export_job(self, job_id: str, line: Sequence[Event]) -> None:
        """The job's line is whole: a span for the job, one for each reason, and events for starts and ends."""
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
