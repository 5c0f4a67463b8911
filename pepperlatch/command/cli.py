"""The `pepperlatch` command.

Each subcommand imports what it needs itself, so that the others start fast and run without its libraries. The
docstrings of commands are their help texts.

Exit codes: 0 done, 1 refused (or cancelled, with --wait), 2 wrong usage or a file with mistakes, 3 no answer in time.
"""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

try:
    import click
except ImportError:  # pragma: no cover - a controller's own installation has no command line
    sys.exit("pepperlatch: the command line needs more libraries: pip install 'pepperlatch[client]'")

from pepperlatch import __version__
from pepperlatch.command import output

CommandFunction = TypeVar("CommandFunction", bound=Callable[..., Any])
INPUT_FILE = click.Path(exists=True, dir_okay=False, allow_dash=True)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="pepperlatch")
def cli() -> None:
    """A cluster scheduler: run a controller, submit jobs and pipelines, look at them.

    \b
    Examples:
      pepperlatch submit --node 10.0.0.1:8080 --node 10.0.0.2:8080 sweep.json --wait
      pepperlatch pipeline check billing.yaml
      pepperlatch pipeline run billing.yaml --key 2026-12 --wait
      pepperlatch admin --node 10.0.0.1:8081 view

    Nodes, team and output may stand in a settings file or in PEPPERLATCH_* variables.
    """


def main(argv: list[str] | None = None) -> int:
    """Run a command and return its exit code; errors are printed to standard error."""
    from pepperlatch.command.preferences import PreferencesError
    from pepperlatch.command.retrying_client import UNREACHABLE, USAGE, NoAnswer
    from pepperlatch.settings import SettingsError

    try:
        code = cli.main(argv, prog_name="pepperlatch", standalone_mode=False)
        return code if isinstance(code, int) else 0
    except click.exceptions.Exit as exit_request:
        return exit_request.exit_code
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except click.Abort:
        return 130
    except (PreferencesError, SettingsError, OSError, ValueError) as error:
        output.print_message(str(error))
        return USAGE
    except NoAnswer as error:
        output.print_message(f"no answer: {error}")
        return UNREACHABLE


def request_options(admin: bool = False) -> Callable[[CommandFunction], CommandFunction]:
    """A decorator for commands that send requests: adds the shared options and passes them on as a `Client`.

    The client is the command's first parameter. With `admin`, `--node` names the listener for operators.
    """

    def decorate(command: CommandFunction) -> CommandFunction:
        def with_client(node: tuple[str, ...], timeout: float | None, output: str | None, **arguments: Any) -> Any:
            from pepperlatch.command.client import Client

            return command(Client.from_options(node, timeout, output, admin), **arguments)

        with_client.__doc__, with_client.__name__ = command.__doc__, command.__name__
        with_client.__click_params__ = getattr(command, "__click_params__", [])  # type: ignore[attr-defined]
        node_help = "its own listener" if admin else "several are tried in turn"
        options = (
            click.option("--node", multiple=True, metavar="HOST:PORT", help=f"address of a controller; {node_help}"),
            click.option("--timeout", type=click.FloatRange(min=0), metavar="S", help="seconds to go on for; 60"),
            click.option("--output", type=click.Choice(["table", "json"]), help="table for people, json for programs"),
        )
        for option in reversed(options):
            with_client = option(with_client)
        return with_client  # type: ignore[return-value]

    return decorate


# --- the service ----------------------------------------------------------------------------------


@cli.command()
@click.option("--config", required=True, metavar="FILE", help="settings file (TOML)")
@click.option("--features", type=click.Path(path_type=Path), metavar="FILE", help="what is on; without it all is off")
def serve(config: str, features: Path | None) -> int:
    """Run a controller until something ends it."""
    from pepperlatch.command.serve import serve as run_controller

    return run_controller(config, features)


@cli.group()
def admin() -> None:
    """Operators' settings and views, at a controller's own listener."""


@admin.command()
@request_options(admin=True)
def view(client: Any) -> int:
    """Who leads, and at the leader machines, drains and teams."""
    return int(client.print_response("GET", "/admin/view"))


@admin.command()
@request_options(admin=True)
def settings(client: Any) -> int:
    """All settings with value, bounds, unit and reason."""
    return int(client.show_settings())


@admin.command(name="set")
@request_options(admin=True)
@click.argument("values", nargs=-1, required=True, metavar="version=N NAME=VALUE...")
def set_(client: Any, values: tuple[str, ...]) -> int:
    """Change settings.

    \b
    Example: pepperlatch admin set --node 10.0.0.1:8081 version=7 idle_s=20
    """
    return int(client.change_settings(values))


# --- the view -------------------------------------------------------------------------------------

ZONE_OPTION = click.option("--zone", default="", metavar="NAME", help="time zone, e.g. Asia/Amman; else this machine's")


@cli.command()
@request_options(admin=True)
@click.argument("words", nargs=-1, metavar="[FILTER...]")
@ZONE_OPTION
@click.option("--once", is_flag=True, help="print the jobs as a plain table, or as JSON, and end")
def console(client: Any, words: tuple[str, ...], zone: str, once: bool) -> int:
    """Which jobs wait, and why; machines, teams, events. Keeps itself current until q is pressed.

    \b
    Examples:
      pepperlatch console --node 10.0.0.1:8081 --node 10.0.0.2:8081
      pepperlatch console priority:urgent why:no-capacity
      pepperlatch console --once team:web-services | grep run-000412
    """
    from pepperlatch.command import console as console_command

    return console_command.run_console(client, " ".join(words), zone, once)


@cli.command()
@request_options(admin=True)
@click.option("-o", "file", required=True, metavar="FILE", help="where the page goes; - for standard output")
@ZONE_OPTION
@click.option("--members", is_flag=True, help="jobs only, words in place of their names: for everyone to see")
@click.option("--team", "teams", multiple=True, help="with --members: only jobs of these teams")
@click.option("--names", is_flag=True, help="with --members: the names all the same")
def report(client: Any, file: str, zone: str, members: bool, teams: tuple[str, ...], names: bool) -> int:
    """Write a page that anyone can open: one file, no network.

    \b
    Example: pepperlatch report --node 10.0.0.1:8081 -o report.html --zone Asia/Amman
    """
    from pepperlatch.command import console as console_command

    if (teams or names) and not members:
        raise click.UsageError("--team and --names go with --members")
    return console_command.report(client, file, zone, members, teams, names)


# --- jobs -----------------------------------------------------------------------------------------


@cli.command()
@request_options()
@click.argument("files", nargs=-1, required=True, type=INPUT_FILE, metavar="FILE...")
@click.option("--key", default="", help="the occasion; the same job under another key is another job")
@click.option("--again", is_flag=True, help="a new job though the same was sent; its class must be allowed to repeat")
@click.option("--wait", is_flag=True, help="until all are done")
def submit(client: Any, files: tuple[str, ...], key: str, again: bool, wait: bool) -> int:
    """Submit jobs from JSON files (- for standard input), as POST /work takes them.

    A job without an id gets one that follows from what it asks for and from --key, so that sending it twice, or from
    a pipeline file too, makes one job.

    \b
    Examples:
      pepperlatch submit sweep.json --key 2026-12-01 --wait
      generate | pepperlatch submit -
    """
    return int(client.submit(files, key, again, wait))


@cli.command()
@request_options()
@click.argument("jobs", nargs=-1, required=True, metavar="ID...")
@click.option("--wait", is_flag=True, help="until all are over")
def status(client: Any, jobs: tuple[str, ...], wait: bool) -> int:
    """Show jobs, and why they wait."""
    return int(client.status(jobs, wait))


@cli.command()
@request_options()
@click.argument("jobs", nargs=-1, required=True, metavar="ID...")
def cancel(client: Any, jobs: tuple[str, ...]) -> int:
    """Cancel jobs, and all that need them."""
    return int(client.cancel(jobs))


@cli.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print what makes a shell complete this command.

    \b
    Example, bash: pepperlatch completion bash > ~/.local/share/bash-completion/completions/pepperlatch
    """
    from click.shell_completion import get_completion_class

    completion_class = get_completion_class(shell)
    assert completion_class is not None
    click.echo(completion_class(cli, {}, "pepperlatch", "_PEPPERLATCH_COMPLETE").source())


# --- pipelines ------------------------------------------------------------------------------------


@cli.group()
def pipeline() -> None:
    """Pipeline files: check, plan, run, look, cancel, run again from a step."""


PIPELINE_FILE_ARGUMENT = click.argument("file", type=INPUT_FILE)
KEY_OPTION = click.option("--key", default=None, help="the occasion, e.g. 2026-12; it goes before the file's own")


@pipeline.command()
def schema() -> None:
    """Print the JSON schema of a pipeline file, for editors."""
    from pepperlatch.pipelines.model import schema as file_schema

    output.print_json(file_schema())


@pipeline.command()
@PIPELINE_FILE_ARGUMENT
@KEY_OPTION
def check(file: str, key: str | None) -> int:
    """Check a file; no node is asked. Every mistake is listed with its line."""
    from pepperlatch.command import pipelines

    plan = pipelines.read_pipeline_file(file, key).plan
    click.echo(f"{file}: {plan.run_name}, {len(plan.steps)} jobs, nothing wrong")
    return 0


@pipeline.command(name="plan")
@PIPELINE_FILE_ARGUMENT
@KEY_OPTION
@click.option("--output", "output_format", type=click.Choice(["table", "json"]), default="table")
def plan_(file: str, key: str | None, output_format: str) -> int:
    """What would be sent, in order, with the time to spare of each step; no node is asked."""
    from pepperlatch.command import pipelines

    return pipelines.show_plan(pipelines.read_pipeline_file(file, key).plan, output_format)


@pipeline.command()
@request_options()
@PIPELINE_FILE_ARGUMENT
@KEY_OPTION
@click.option("--wait", is_flag=True, help="until it is over")
def run(client: Any, file: str, key: str | None, wait: bool) -> int:
    """Submit a file's jobs. Sent again under the same key it completes what is missing, once.

    \b
    Example: pepperlatch pipeline run billing.yaml --key 2026-12 --wait
    """
    from pepperlatch.command import pipelines

    return pipelines.run(client, pipelines.read_pipeline_file(file, key, client.preferences.team).plan, wait)


@pipeline.command(name="status")
@request_options()
@click.argument("name", metavar="NAME[@KEY]")
@click.option("--wait", is_flag=True, help="until it is over")
def pipeline_status(client: Any, name: str, wait: bool) -> int:
    """Show a run, step by step."""
    from pepperlatch.command import pipelines

    return pipelines.status(client, name, wait)


@pipeline.command(name="cancel")
@request_options()
@click.argument("name", metavar="NAME[@KEY]")
def pipeline_cancel(client: Any, name: str) -> int:
    """Cancel all of a run, also steps still on their way."""
    from pepperlatch.command import pipelines

    return pipelines.cancel(client, name)


@pipeline.command()
@request_options()
@click.argument("name", metavar="NAME[@KEY]")
@click.option("--from", "from_steps", multiple=True, required=True, metavar="STEP", help="may be given several times")
@click.option("--wait", is_flag=True, help="until it is over")
def rerun(client: Any, name: str, from_steps: tuple[str, ...], wait: bool) -> int:
    """Run again from these steps on; those before them are kept as they are.

    \b
    Example: pepperlatch pipeline rerun billing@2026-12 --from render
    """
    from pepperlatch.command import pipelines

    return pipelines.rerun(client, name, from_steps, wait)


@pipeline.group()
def schedule() -> None:
    """Pipelines that run by themselves."""


@schedule.command()
@request_options()
@PIPELINE_FILE_ARGUMENT
def add(client: Any, file: str) -> int:
    """Keep a file's schedule; an earlier one of that name is replaced from now on.

    \b
    Example: pepperlatch pipeline schedule add daily-air-chain.yaml
    """
    from pepperlatch.command import pipelines

    return pipelines.add_schedule(client, pipelines.read_pipeline_file(file, None, client.preferences.team))


@schedule.command(name="list")
@request_options()
def list_(client: Any) -> int:
    """All schedules, and when they are due next (UTC)."""
    from pepperlatch.command import pipelines

    return pipelines.request_schedules(client, "GET", "")


@schedule.command()
@request_options()
@click.argument("name")
def pause(client: Any, name: str) -> int:
    """Run nothing until it is resumed; runs that have begun go on."""
    from pepperlatch.command import pipelines

    return pipelines.request_schedules(client, "POST", f"/{name}/pause")


@schedule.command()
@request_options()
@click.argument("name")
def resume(client: Any, name: str) -> int:
    """Go on from now; what was due while it was paused is not run."""
    from pepperlatch.command import pipelines

    return pipelines.request_schedules(client, "POST", f"/{name}/resume")


@schedule.command()
@request_options()
@click.argument("name")
def remove(client: Any, name: str) -> int:
    """Forget a schedule; its runs stay."""
    from pepperlatch.command import pipelines

    return pipelines.request_schedules(client, "DELETE", f"/{name}")


# --- scale runs -----------------------------------------------------------------------------------


class _ScaleGroup(click.Group):
    """Takes a first argument that is no subcommand as the scenario of `run`: `pepperlatch scale small`."""

    def resolve_command(self, ctx: click.Context, args: list[str]) -> Any:
        if args and args[0] not in self.commands and not args[0].startswith("-"):
            args = ["run", *args]
        return super().resolve_command(ctx, args)


@cli.group(cls=_ScaleGroup)
def scale() -> None:
    """Run real controllers beside thousands of hollow workers, and measure them.

    \b
    Examples:
      pepperlatch scale small
      pepperlatch scale two-years --share 0.25 --report quarter.json
      pepperlatch scale compare before.json after.json

    Needs: pip install 'pepperlatch[scale]'
    """


@scale.command(name="run")
@click.argument("scenario", metavar="SCENARIO")
@click.option("--share", type=click.FloatRange(min=0, min_open=True, max=1), default=1.0, help="of workers and jobs")
@click.option("--length", type=click.FloatRange(min=1), metavar="S", help="seconds to measure")
@click.option("--settle", type=click.FloatRange(min=1), metavar="S", help="seconds until measuring begins")
@click.option("--seed", type=int, help="other arrivals and choices")
@click.option(
    "--program", type=click.Path(exists=True, dir_okay=False, path_type=Path), help="another run.py to measure"
)
@click.option("--report", type=click.Path(dir_okay=False, path_type=Path), help="a file for the result, as JSON")
@click.option("--keep", type=click.Path(file_okay=False, path_type=Path), help="a folder for logs and histories")
@click.option("--output", type=click.Choice(["table", "json"]), default="table")
def scale_run(
    scenario: str, share: float, length: float | None, settle: float | None, seed: int | None, program: Path | None,
    report: Path | None, keep: Path | None, output: str,
) -> int:  # fmt: skip
    """Play a scenario: a file, or one that comes with the program (small, today, idle, two-years, failures)."""
    from pepperlatch.command import scale
    from pepperlatch.scale.processes import PROJECT_ROOT
    from pepperlatch.scale.scenario import ScenarioError

    try:
        selected = scale.load_scenario(scenario, share, length, settle, seed)
    except ScenarioError as error:
        raise click.UsageError(str(error)) from None
    return scale.run(selected, (program or PROJECT_ROOT / "run.py").resolve(), report, keep, output)


@scale.command(name="compare")
@click.argument("one", type=click.Path(path_type=Path))
@click.argument("other", type=click.Path(path_type=Path))
def scale_compare(one: Path, other: Path) -> int:
    """Two results (`--report`) side by side."""
    from pepperlatch.command import scale

    return scale.compare(one, other)


if __name__ == "__main__":
    sys.exit(main())
