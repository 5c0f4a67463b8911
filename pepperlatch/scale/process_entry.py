"""Entry point of a simulated process: `python -m pepperlatch.scale.process_entry ROLE PLAN [INDEX]`."""

import sys
from pathlib import Path

from pepperlatch.scale.control import Plan, decode_message


def main(arguments: list[str]) -> None:
    """Run the role (services, users or host) with the plan file until the process is terminated.

    INDEX is the number of the worker host; the other roles ignore it.
    """
    role, path = arguments[0], Path(arguments[1])
    plan = decode_message(path.read_bytes(), Plan)
    if role == "services":
        from pepperlatch.scale import services

        services.run(plan)
    elif role == "users":
        from pepperlatch.scale import users

        users.run(plan)
    else:
        from pepperlatch.scale import worker_host

        worker_host.run(plan, int(arguments[2]))


if __name__ == "__main__":
    main(sys.argv[1:])
