"""Validated TOML settings files, with a one-line error for the first invalid key."""

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError

from liftrill.errors import SettingsError

Schema = TypeVar("Schema", bound=BaseModel)


class StrictModel(BaseModel):
    """A schema that rejects unknown keys."""

    model_config = ConfigDict(extra="forbid")


def load_settings(
    schema: type[Schema], path: Path | None, overrides: Mapping[str, object] | None = None
) -> Schema:
    """Return validated settings from a file and from flags, which override the file.

    Args:
        schema: the pydantic model to validate against.
        path: a TOML file, or None to use flags alone.
        overrides: flag values by key; None if a flag was not given.

    Raises:
        SettingsError: a value is invalid; one line names its source, key, value and fault.
    """
    values = read_toml(path) if path else {}
    given = {key: value for key, value in (overrides or {}).items() if value is not None}
    values.update(given)
    try:
        return schema.model_validate(values)
    except ValidationError as error:
        raise SettingsError(_first_problem(error, path, given)) from error


def read_toml(path: Path) -> dict[str, Any]:
    """Return the content of a TOML file.

    Raises:
        SettingsError: the file cannot be read or is not valid TOML.
    """
    try:
        return tomllib.loads(path.read_text())
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not valid TOML: {error}") from error


def _first_problem(error: ValidationError, path: Path | None, flags: Mapping[str, object]) -> str:
    problem = error.errors(include_url=False)[0]
    key = ".".join(str(part) for part in problem["loc"]) or "(whole file)"
    top_level_key = str(problem["loc"][0]) if problem["loc"] else ""
    source = f"flag --{top_level_key.replace('_', '-')}" if top_level_key in flags else str(path)
    if problem["type"] == "missing":
        return f"{path or 'flags'}: {key}: missing; expected a value"
    expectation = problem["msg"].removeprefix("Value error, ")
    if problem["type"] == "extra_forbidden":
        expectation = "no such key"
    return f"{source}: {key}: {problem['input']!r}: {expectation}"
