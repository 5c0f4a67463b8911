"""The content id of a job: two requests with the same canonical form are the same job.

The canonical form is the JSON text, with sorted keys and without spaces, of `{"again", "job", "key", "v": 1}`:
- `job` is the description as POST /work takes it, without its id and without null or unknown fields; amounts are
  decimal numbers; `builds` and `prereqs` are sorted and without repetitions;
- `key` is the occasion that the user named, or "";
- `again` is "" unless the job is deliberately submitted anew.

The id is `run-` and the first 40 hexadecimal digits of the form's SHA-256 (FIPS 180-4). It depends neither on the order
of fields nor on whether the job is submitted alone or by a pipeline. Every version must compute the same ids, or a job
that is submitted to two versions would run twice.
"""

import hashlib
from typing import Any

import msgspec
import orjson

from pepperlatch.constants import pipelines as c
from pepperlatch.protocol import wire


def canonical_form(spec: wire.JobSpec, key: str = "", again: str = "") -> bytes:
    """The canonical form as described above, in UTF-8."""
    plain = wire.to_plain(
        msgspec.structs.replace(
            spec,
            types=sorted(set(spec.types)) if spec.types is not None else None,
            needs=sorted(set(spec.needs)) if spec.needs else None,
        )
    )
    job = {name: value + 0.0 if isinstance(value, float) else value for name, value in plain.items()}
    job = {name: value for name, value in job.items() if value is not None and name != wire.ID_FIELD}
    return orjson.dumps({"v": 1, "key": key, "again": again, "job": job}, option=orjson.OPT_SORT_KEYS)


def job_id(spec: wire.JobSpec, key: str = "", again: str = "") -> str:
    """The id that follows from the canonical form; `spec.id` has no influence."""
    return wire.job_id(hashlib.sha256(canonical_form(spec, key, again)).hexdigest()[: c.ID_HASH_DIGITS])


def parse_description(job: dict[str, Any], needs: list[str] | None = None) -> wire.JobSpec:
    """Parse a description without an id. Raises msgspec.ValidationError, which names the field.

    `job` has the protocol's field names; `needs`: ids of the jobs that have to be done before.
    """
    fields = {**job, wire.ID_FIELD: wire.job_id("0")}
    if needs:
        fields[wire.NEEDS_FIELD] = needs
    spec: wire.JobSpec = wire.convert(fields, wire.JobSpec)
    return spec


def with_content_id(
    job: dict[str, Any], key: str = "", again: str = "", needs: list[str] | None = None
) -> wire.JobSpec:
    """Parse a description and give it the id that follows from its content. Raises msgspec.ValidationError."""
    spec = parse_description(job, needs)
    return msgspec.structs.replace(spec, id=job_id(spec, key, again))
