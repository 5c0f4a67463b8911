"""A client of HTTP/1.1 asks each controller for the head of /healthz; each of these processes ends by itself."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from sites import guild_member_portal
from standin import job, main


async def ask_for_head(world, node, method):
    """Send the request as a sound client of HTTP/1.1 does, and return the first line of the answer."""
    host, _, port = world.user_addrs[node].rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"{method} /healthz HTTP/1.1\r\nHost: {host}:{port}\r\nUser-Agent: check\r\nAccept: */*\r\n\r\n".encode())
    await writer.drain()
    try:
        line = (await asyncio.wait_for(reader.readline(), 2.0)).decode().strip()
    except (OSError, asyncio.TimeoutError):
        line = "no answer"
    writer.close()
    world.note(f"client -> {world.node_names[node]} {method} /healthz: {line or 'connection closed without an answer'}")


async def play(world, trouble):
    await world.submit(job(1, crew="tower-ops", expected_s=300.0), node=0)
    await world.until(lambda: world.tasks_on_machines("run-000001"), 20, "the job runs")
    for node in range(3):
        await ask_for_head(world, node, "HEAD" if trouble else "GET")
        await asyncio.sleep(1.0)
    for controller in world.controllers:
        if controller.exit_code() is not None:
            world.broken("node_restarts", f"{controller.name} has ended by itself with code {controller.exit_code()}")
    status, _ = await world.ask(0, "GET", "/work/run-000001", None, 2.0)
    world.note(f"a user's question about the job that runs: {status or 'no answer'}")


main(Path(__file__).parent, lambda: guild_member_portal(__file__), play)
