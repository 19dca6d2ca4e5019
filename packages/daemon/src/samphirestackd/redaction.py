"""Redaction of keys, tokens and bodies in logs and events."""

import re

REDACTED = '[redacted]'
MAX_TEXT = 2000
"""Bound on the characters of a string; longer ones are truncated, since
they may contain data from a caller."""

SECRET_NAMES = frozenset(
    {
        'answer',
        'authorization',
        'body',
        'digest',
        'key',
        'operator_token',
        'password',
        'payload',
        'salt',
        'secret',
        'secret_key',
        'token',
    }
)
"""Names of fields whose values are never written."""

_SECRETS = re.compile(
    # The text of a team key: ``<key id>.<secret>``.
    r'\bk[0-9a-f]{12}\.[\w-]{16,}'
    r'|(?i:bearer)\s+\S+'
)


def redact(fields: dict[str, object]) -> dict[str, object]:
    """Return the fields with secrets replaced by ``REDACTED``."""
    return {
        name: REDACTED if name.lower() in SECRET_NAMES else redact_value(value)
        for name, value in fields.items()
    }


def redact_value(value: object) -> object:
    """Return a value that can be encoded as JSON, without secrets."""
    if value is None or isinstance(value, bool | int | float):
        return value
    if isinstance(value, str):
        return _SECRETS.sub(REDACTED, value[:MAX_TEXT])
    if isinstance(value, dict):
        return redact({str(name): item for name, item in value.items()})
    if isinstance(value, list | tuple | set | frozenset):
        return [redact_value(item) for item in value]
    # Other objects may contain data from callers, such as raw bytes.
    return f'<{type(value).__name__}>'
