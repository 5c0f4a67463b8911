"""What makes two requests the same job: the canonical form of what is asked, and the id made of it.

The form is the JSON text, keys sorted, no spaces, of `{"again", "job", "key", "v": 1}`: `job` is the description
as POST /work takes it, without its id and without fields that are null or unknown, amounts as decimal numbers,
`builds` and `prereqs` sorted and without repetitions; `key` is the occasion that the user named, or ""; `again` is
"" unless the job is asked for anew on purpose. The id is `run-` and the first 40 hexadecimal digits of the
form's SHA-256 (FIPS 180-4). Neither the path a job comes by nor the order of fields has any part in it.
"""

import hashlib
from typing import Any

import msgspec
import orjson

from pepperlatch.constants import pipelines as c
from pepperlatch.protocol import wire


def canonical_form(spec: wire.JobSpec, key: str = "", again: str = "") -> bytes:
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
    """The id of what is asked; `spec.id` has no part in it."""
    return wire.job_id(hashlib.sha256(canonical_form(spec, key, again)).hexdigest()[: c.ID_HASH_DIGITS])


def parse_description(job: dict[str, Any], needs: list[str] | None = None) -> wire.JobSpec:
    """A description without an id, checked for types; raises msgspec.ValidationError naming the field."""
    named = {**job, wire.ID_FIELD: wire.job_id("0")}
    if needs:
        named[wire.NEEDS_FIELD] = needs
    spec: wire.JobSpec = wire.convert(named, wire.JobSpec)
    return spec


def with_content_id(
    job: dict[str, Any], key: str = "", again: str = "", needs: list[str] | None = None
) -> wire.JobSpec:
    """The description with the id that follows from it."""
    spec = parse_description(job, needs)
    return msgspec.structs.replace(spec, id=job_id(spec, key, again))
