"""Authentication of operators by a bearer token."""

import hmac
import pathlib

from samphirestack import errors
from samphirestack import settings as settings_types
from samphirestackd.edge import exchange as exchanges
from samphirestackd.edge import filters

MIN_CHARACTERS = 16


class OperatorToken:
    """Filter that rejects calls without the operator token.

    :param token: the expected token.
    """

    def __init__(self, token: str) -> None:
        self._token = token.encode()

    def __call__(self, exchange: exchanges.Exchange) -> None:
        """Raise unless the token matches, compared in constant time.

        :raises errors.Unauthorized: it is missing or wrong.
        """
        header = exchange.headers.get(filters.AUTHORIZATION, b'')
        scheme, _, presented = header.partition(b' ')
        matches = hmac.compare_digest(presented.strip(), self._token)
        if scheme != b'Bearer' or not matches:
            raise errors.Unauthorized(
                'the header "Authorization: Bearer <operator token>" is '
                'missing or the token is wrong',
                hint='Use the token in the file that the daemon settings '
                'name as security.operator_token_file.',
            )


def read_token(settings: settings_types.Settings) -> str:
    """Return the token in the file that the settings name.

    :raises errors.SettingsError: the file can't be read, or the token is
        too short or not ASCII.
    """
    path = settings.security.operator_token_file
    try:
        token = pathlib.Path(path).read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            path, '(file)', str(error), 'a readable text file'
        ) from None
    if len(token) < MIN_CHARACTERS or not token.isascii():
        raise errors.SettingsError(
            path,
            '(file)',
            f'a token of {len(token)} characters',
            f'an ASCII token of at least {MIN_CHARACTERS} characters',
        )
    return token
