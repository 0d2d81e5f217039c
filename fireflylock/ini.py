"""Parser for INI files that reports all syntax errors of a file together."""

import configparser


def read_ini(text: str, source: str) -> tuple[dict[str, dict[str, str]], list[str]]:
    """Return the options by section, and the syntax errors of the file."""
    problems: list[str] = []
    parser = _new_parser(strict=True)
    if not _parse_text(parser, text, source, problems):
        # Parsing goes on leniently, so that one run reports every error.
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
    """Read `text`, add its syntax errors to `problems`, return whether there were none."""
    found = []
    try:
        parser.read_string(text, source)
    except configparser.DuplicateSectionError as error:
        found.append(f"{source}: line {error.lineno}: section [{error.section}] is given twice.")
    except configparser.DuplicateOptionError as error:
        place = f"{source}: line {error.lineno}: [{error.section}] {error.option}"
        found.append(f"{place} is given twice; allowed: once.")
    except configparser.MissingSectionHeaderError as error:
        found.append(f"{source}: line {error.lineno}: an option precedes the first [section].")
    except configparser.ParsingError as error:
        for line, content in error.errors:
            found.append(f"{source}: line {line}: {content} is not 'option = value'.")
    except AttributeError:
        # The parser of Python 3.11 raises this for a continued line after an option without value.
        found.append(f"{source}: a continued line follows a line that is not 'option = value'.")
    problems.extend(problem for problem in found if problem not in problems)
    return not found


def _new_parser(strict: bool) -> configparser.ConfigParser:
    """Return a parser without interpolation and without a section of shared defaults."""
    return configparser.ConfigParser(
        strict=strict,
        interpolation=None,
        default_section="\0",
        inline_comment_prefixes=("#",),
    )
