"""Runs one benchmark: ``python -m bench NAME [--json] [options of the benchmark]``."""

import argparse
import importlib
import pkgutil
import sys
from pathlib import Path
from types import ModuleType

import bench


def find(name: str) -> ModuleType | None:
    """Return the module of the benchmark `name`: one of this package that has `run`."""
    if name not in [module.name for module in pkgutil.iter_modules(bench.__path__)]:
        return None
    if name.startswith("_"):
        return None
    module = importlib.import_module(f"bench.{name}")
    return module if hasattr(module, "run") else None


def names() -> list[str]:
    """Return the names of all benchmarks."""
    modules = [module.name for module in pkgutil.iter_modules(bench.__path__)]
    return sorted(name for name in modules if find(name) is not None)


def main(argv: list[str] | None = None) -> int:
    """Run the benchmark that `argv` names.

    Returns
    -------
    int
        0 when every bound was kept, 1 when one was broken, 2 for an unknown benchmark.
    """
    parser = argparse.ArgumentParser(prog="python -m bench", description=__doc__)
    parser.add_argument("name", help="which benchmark to run")
    parser.add_argument("--json", action="store_true", help="print the figures as JSON")
    parser.add_argument(
        "--known",
        type=Path,
        metavar="FILE",
        help="broken figures that stand in FILE are passed over",
    )
    options, rest = parser.parse_known_args(argv)
    module = find(options.name)
    if module is None:
        print(f"No benchmark {options.name}; there are: {', '.join(names())}", file=sys.stderr)
        return 2
    figures = module.run(rest)
    print(figures.to_json() if options.json else figures.to_table())
    known = "" if options.known is None else options.known.read_text("utf-8")
    return 0 if figures.is_ok_but_for(known) else 1


if __name__ == "__main__":
    sys.exit(main())
