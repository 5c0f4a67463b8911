"""Entry of a hollow process: `python -m pepperlatch.scale.process ROLE PLAN [INDEX]`."""

import sys
from pathlib import Path

from pepperlatch.scale.control import Plan, decoded


def main(arguments: list[str]) -> None:
    """Run the role that is asked for until the process is ended."""
    role, path = arguments[0], Path(arguments[1])
    plan = decoded(path.read_bytes(), Plan)
    if role == "services":
        from pepperlatch.scale import services

        services.run(plan)
    elif role == "users":
        from pepperlatch.scale import users

        users.run(plan)
    else:
        from pepperlatch.scale import host

        host.run(plan, int(arguments[2]))


if __name__ == "__main__":
    main(sys.argv[1:])
