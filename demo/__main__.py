"""Run both deployments, then the users' platform with faults: ``python -m demo``."""

import argparse
import asyncio
import signal
import sys
import tempfile
from pathlib import Path

from demo.deployment import PLANS
from demo.platform_run import PlatformRun
from demo.run import DemoError, Run
from standins.arrivals import WINDOW_SECONDS

# Name of the run on the users' platform.
PLATFORM = "platform"

BROKEN = 1
INTERRUPTED = 130


def parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="python -m demo", description=__doc__)
    names = [*(plan.name for plan in PLANS), PLATFORM]
    parser.add_argument("--only", choices=names, help="run one of them")
    parser.add_argument("--seconds", type=float, default=20.0, help="length of the traffic")
    parser.add_argument("--rate", type=float, default=120.0, help="calls per second")
    parser.add_argument("--seed", type=int, default=1, help="decides traffic and faults")
    parser.add_argument(
        "--stay", action="store_true", help="start one deployment, without traffic, until Ctrl-C"
    )
    parser.add_argument("--keep", metavar="FOLDER", help="keep logs and settings here")
    return parser


async def run_all(options: argparse.Namespace, folder: Path) -> int:
    """Run the deployments; return how many rules were broken."""
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    broken = 0
    if options.stay and options.only == PLATFORM:
        raise DemoError("--stay is offered for the deployments only")
    for plan in PLANS:
        if options.only not in (None, plan.name):
            continue
        if (folder / plan.name).exists():
            raise DemoError(f"{folder / plan.name} exists already; name another folder to keep")
        run = Run(plan, folder / plan.name, options.seconds, options.rate, options.seed)
        if options.stay:
            await run.stay()
        findings = await run.run()
        broken += len(findings.broken)
    if options.only in (None, PLATFORM):
        path = folder / PLATFORM
        if path.exists():
            raise DemoError(f"{path} exists already; name another folder to keep")
        broken += await run_on_platform(options, path)
    return broken


async def run_on_platform(options: argparse.Namespace, folder: Path) -> int:
    """Run entry VMs among stand-ins of the users' platform; return the number of findings."""
    print(f"{PLATFORM}: three entry VMs, faults of seed {options.seed}")
    run = PlatformRun(folder, options.seconds, options.rate, options.seed)
    outcome = await run.run()
    faults = ", ".join(f"{name} {count}" for name, count in sorted(outcome.faults.items()))
    print(f"  {outcome.served} of {outcome.asked} calls served; faults: {faults}")
    for limited in outcome.limited:
        print(
            f"  {limited.server.name}, limit {limited.limit} a second: at most {limited.most()} "
            f"requests in {WINDOW_SECONDS:.0f} s, allowed {limited.allowed():.0f}"
        )
    for text in outcome.broken:
        print(f"  broken: {text}")
    return len(outcome.broken)


def main() -> int:
    """Run the demo and return its exit status."""
    options = parser().parse_args()
    with tempfile.TemporaryDirectory(prefix="fireflylock-demo-") as temporary:
        folder = Path(options.keep) if options.keep else Path(temporary)
        try:
            broken = asyncio.run(run_all(options, folder))
        except DemoError as error:
            print(f"demo: {error}", file=sys.stderr)
            return BROKEN
        except asyncio.CancelledError:
            print("demo: interrupted; everything it started has ended.", file=sys.stderr)
            return INTERRUPTED
    print(f"\n{'Every rule held.' if not broken else f'{broken} rules were broken.'}")
    return BROKEN if broken else 0


if __name__ == "__main__":
    sys.exit(main())
