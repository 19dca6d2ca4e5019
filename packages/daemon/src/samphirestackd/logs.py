"""Logs as JSON lines through eliot.

A thread writes the lines from a bounded queue.  A full disk or a pipe
without a reader loses log lines but never blocks the daemon.
"""

import collections
from collections.abc import Callable
import logging
import os
import sys
import threading
import time
import traceback

import eliot
import msgspec

from samphirestack.internal import log_limits
from samphirestack import settings as settings_types
from samphirestackd import redaction

LEVELS = {'debug': 10, 'info': 20, 'warning': 30, 'error': 40}
MAX_QUEUED_LINES = 10_000
REOPEN_AFTER_S = 5.0
STANDARD_ERROR = '-'
STANDARD_OUTPUT = 'stdout'
FLUSH_TIMEOUT_S = 1.0
MAX_REASON_CHARACTERS = 300
"""Limit of a reason, which may quote input of any size."""

_TRACEBACK = 'eliot:traceback'
_UNUSED_FIELDS = ('task_uuid', 'task_level')

_threshold = LEVELS['info']
_limiter = log_limits.LogLimiter()


def debug(kind: str, /, **fields: object) -> None:
    """Log a detail that explains a decision of the daemon."""
    _log('debug', kind, fields)


def info(kind: str, /, **fields: object) -> None:
    """Log a change of state that matters to operators."""
    _log('info', kind, fields)


def warning(kind: str, /, **fields: object) -> None:
    """Log a failure from which the daemon recovers by itself."""
    _log('warning', kind, fields)


def error(kind: str, /, **fields: object) -> None:
    """Log a failure that an operator has to resolve."""
    _log('error', kind, fields)


def limited_warning(
    kind: str, subject: str, problem: Exception | str, /, **fields: object
) -> None:
    """Log a problem that may come again and again, such as a malformed row.

    It is not logged each time; see ``log_limits``.

    :param subject: where it came from, such as the key of a row.
    """
    reason = problem if isinstance(problem, str) else repr(problem)
    if _admit(kind, subject, reason, fields):
        _log('warning', kind, fields)


def unexpected(
    kind: str, subject: str, problem: Exception, /, **fields: object
) -> None:
    """Log an exception that a component didn't expect, with its traceback.

    It is not logged each time that it is raised about the same subject.
    """
    if _admit(kind, subject, repr(problem), fields):
        fields['traceback'] = ''.join(traceback.format_exception(problem))
        _log('error', kind, fields)


def _admit(
    kind: str, subject: str, reason: str, fields: dict[str, object]
) -> bool:
    """Complete the fields of a line and return whether to write it."""
    suppressed = _limiter.admit(time.monotonic(), kind, subject)
    if suppressed is None:
        return False
    if suppressed:
        fields['suppressed_before'] = suppressed
    fields.update(subject=subject, reason=reason[:MAX_REASON_CHARACTERS])
    return True


def guard(call: Callable[[], object]) -> None:
    """Call a handler of another component and log its exception."""
    try:
        call()
    except Exception as error:
        unexpected('handler.failed', type(error).__name__, error)


def _log(level: str, kind: str, fields: dict[str, object]) -> None:
    if LEVELS[level] >= _threshold:
        fields.update(message_type=kind, level=level)
        eliot.log_message(**fields)


class LibraryHandler(logging.Handler):
    """Writes what libraries log, without repeating it.

    Callers can cause such lines, for example by requests that are no HTTP.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line."""
        problem = record.exc_info[1] if record.exc_info else None
        if isinstance(problem, Exception):
            unexpected('library.failed', f'{record.name} {problem!r}', problem)
        else:
            limited_warning(
                'library.warning', record.name, record.getMessage()
            )


class LineWriter:
    """Thread that writes lines to a file or the standard error stream.

    :param path: file to append to, ``-`` for the standard error stream or
        ``stdout`` for the standard output.
    """

    def __init__(self, path: str) -> None:
        self._path = path
        self._lines: collections.deque[bytes] = collections.deque()
        self._wake = threading.Event()
        self._stopping = False
        self._descriptor: int | None = None
        self._retry_at = 0.0
        self.dropped = 0
        """Number of lines that were lost."""
        self._thread = threading.Thread(
            target=self._run, name='log-writer', daemon=True
        )

    def start(self) -> None:
        """Start the writing thread."""
        self._thread.start()

    def put(self, line: bytes) -> None:
        """Queue a line without blocking; drop it if the queue is full."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._lines.append(line)
        self._wake.set()

    def stop(self) -> None:
        """Write the queued lines, for at most ``FLUSH_TIMEOUT_S``."""
        self._stopping = True
        self._wake.set()
        self._thread.join(FLUSH_TIMEOUT_S)

    def _run(self) -> None:
        while not self._stopping or self._lines:
            self._wake.wait()
            self._wake.clear()
            while self._lines:
                batch = [
                    self._lines.popleft() for _ in range(len(self._lines))
                ]
                self._write(batch)

    def _write(self, batch: list[bytes]) -> None:
        data = b''.join(batch)
        try:
            while data:
                data = data[os.write(self._open(), data) :]
        except OSError:
            self.dropped += len(batch)
            self._close()

    def _open(self) -> int:
        if self._path == STANDARD_ERROR:
            return sys.stderr.fileno()
        if self._path == STANDARD_OUTPUT:
            return sys.stdout.fileno()
        if self._descriptor is None:
            if time.monotonic() < self._retry_at:
                raise OSError('the log file could not be opened')
            self._retry_at = time.monotonic() + REOPEN_AFTER_S
            self._descriptor = os.open(
                self._path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o640
            )
        return self._descriptor

    def _close(self) -> None:
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None


class Destination:
    """eliot destination that filters by level and redacts secrets.

    :param node: name of this VM, written into each line.
    """

    def __init__(self, writer: LineWriter, level: str, node: str) -> None:
        self._writer = writer
        self._min_level = LEVELS[level]
        self._node = node

    def __call__(self, message: dict[str, object]) -> None:
        """Write one message of eliot."""
        kind = str(message.get('message_type', message.get('action_type')))
        default_level = 'error' if kind == _TRACEBACK else 'info'
        level = str(message.get('level', default_level))
        if LEVELS.get(level, LEVELS['error']) < self._min_level:
            return
        fields = redaction.redact(message)
        for name in _UNUSED_FIELDS:
            fields.pop(name, None)
        fields.update(level=level, node=self._node)
        self._writer.put(msgspec.json.encode(fields) + b'\n')


def start(settings: settings_types.LogSettings, node: str) -> LineWriter:
    """Start a writer for eliot's messages as configured; return it."""
    global _threshold
    _threshold = LEVELS[settings.level]
    writer = LineWriter(settings.file)
    writer.start()
    eliot.add_destinations(Destination(writer, settings.level, node))
    root = logging.getLogger()
    if not any(isinstance(one, LibraryHandler) for one in root.handlers):
        root.addHandler(LibraryHandler(logging.WARNING))
    return writer
