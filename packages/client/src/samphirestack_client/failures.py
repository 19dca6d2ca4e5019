"""Failures of commands and their exit codes."""

import enum


class ExitCode(enum.IntEnum):
    """Exit codes, which scripts may rely on."""

    DONE = 0
    """The command succeeded."""
    FAILED = 1
    """The command was refused or failed; a retry may not help."""
    USAGE = 2
    """The command line, a file or a value in it is wrong."""
    CONFLICT = 3
    """The configuration has another revision than expected."""
    UNREACHABLE = 4
    """No node answered."""
    NOT_ALLOWED = 5
    """The operator token is missing or wrong."""


class ClientFailure(Exception):
    """A command failed.

    :param message: what is wrong.
    :param hint: what to do next.
    """

    exit_code = ExitCode.FAILED

    def __init__(self, message: str, hint: str = '') -> None:
        super().__init__(message)
        self.message = message
        self.hint = hint


class WrongUsage(ClientFailure):
    """The command line, a file or a value in it is wrong."""

    exit_code = ExitCode.USAGE


class Conflict(ClientFailure):
    """The configuration has another revision than expected."""

    exit_code = ExitCode.CONFLICT


class Unreachable(ClientFailure):
    """No node answered."""

    exit_code = ExitCode.UNREACHABLE


class NotAllowed(ClientFailure):
    """The operator token is missing or wrong."""

    exit_code = ExitCode.NOT_ALLOWED


class Refused(ClientFailure):
    """A node refused the command.

    :param code: stable code of the error.
    """

    def __init__(self, code: str, message: str, hint: str) -> None:
        super().__init__(message, hint)
        self.code = code
