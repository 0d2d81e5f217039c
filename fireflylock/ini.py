"""Reading INI files in one go, with every mistake of their form."""

import configparser


def read_ini(text: str, source: str) -> tuple[dict[str, dict[str, str]], list[str]]:
    """Return the options by section, and what is wrong with the form of the file."""
    problems: list[str] = []
    parser = _new_parser(strict=True)
    if not _parse_text(parser, text, source, problems):
        # The rest is read all the same, so that one run shows every mistake.
        parser = _new_parser(strict=False)
        _parse_text(parser, text, source, problems)
    sections = {}
    for name in parser.sections():
        options = parser.items(name)
        sections[name] = {option: value for option, value in options if value is not None}
    return sections, problems


def _parse_text(
    parser: configparser.ConfigParser, text: str, source: str, problems: list[str]
) -> bool:
    """Read `text`, add what is wrong with its form to `problems`, return whether it is whole."""
    found = []
    try:
        parser.read_string(text, source)
    except configparser.DuplicateSectionError as error:
        found.append(f"{source}: line {error.lineno}: section [{error.section}] stands twice.")
    except configparser.DuplicateOptionError as error:
        place = f"{source}: line {error.lineno}: [{error.section}] {error.option}"
        found.append(f"{place} stands twice; allowed: once.")
    except configparser.MissingSectionHeaderError as error:
        found.append(f"{source}: line {error.lineno}: an option stands before any [section].")
    except configparser.ParsingError as error:
        for line, content in error.errors:
            found.append(f"{source}: line {line}: {content} is not 'option = value'.")
    except AttributeError:
        # The parser of Python 3.11 trips over a continued line after an option without value.
        found.append(f"{source}: a continued line follows a line that is not 'option = value'.")
    problems.extend(problem for problem in found if problem not in problems)
    return not found


def _new_parser(strict: bool) -> configparser.ConfigParser:
    """Return a parser without interpolation and without a section that leaks into others."""
    return configparser.ConfigParser(
        strict=strict,
        interpolation=None,
        default_section="\0",
        inline_comment_prefixes=("#",),
    )
