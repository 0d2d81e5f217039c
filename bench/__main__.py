"""Runs one benchmark: ``python -m bench NAME [--json] [options of the benchmark]``."""

import argparse
import importlib
import pkgutil
import sys

import bench


def names() -> list[str]:
    """Return the names of the benchmarks: the modules of this package that have `run`."""
    found = []
    for module in pkgutil.iter_modules(bench.__path__):
        if module.name.startswith("_"):
            continue
        if hasattr(importlib.import_module(f"bench.{module.name}"), "run"):
            found.append(module.name)
    return sorted(found)


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
    options, rest = parser.parse_known_args(argv)
    if options.name not in names():
        print(f"No benchmark {options.name}; there are: {', '.join(names())}", file=sys.stderr)
        return 2
    figures = importlib.import_module(f"bench.{options.name}").run(rest)
    print(figures.to_json() if options.json else figures.to_table())
    return 0 if figures.ok else 1


if __name__ == "__main__":
    sys.exit(main())
