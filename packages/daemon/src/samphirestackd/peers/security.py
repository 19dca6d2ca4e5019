"""CURVE encryption between daemons, which share one key pair."""

import pathlib

import msgspec
import zmq
import zmq.asyncio
import zmq.auth.asyncio

from samphirestack import errors
from samphirestack import settings as settings_types


class Keys(msgspec.Struct, frozen=True):
    """The shared key pair, Z85-encoded."""

    public: bytes
    secret: bytes


def read_keys(settings: settings_types.ClusterSettings) -> Keys | None:
    """Return the key pair, or ``None`` if encryption is off.

    :raises errors.SettingsError: the secret key can't be read, or does not
        belong to the public key.
    """
    if not settings.public_key:
        return None
    path = settings.secret_key_file
    try:
        secret = pathlib.Path(path).read_bytes().strip()
    except OSError as error:
        raise errors.SettingsError(
            path, '(file)', str(error), 'a file with a CURVE secret key'
        ) from None
    public = settings.public_key.encode()
    if _public_of(secret) != public:
        raise errors.SettingsError(
            path,
            '(file)',
            f'a secret key of {len(secret)} characters',
            'the CURVE secret key of cluster.public_key in Z85',
        )
    return Keys(public, secret)


def _public_of(secret: bytes) -> bytes | None:
    try:
        return zmq.curve_public(secret)
    except (ValueError, zmq.ZMQError):
        return None


class KnownKeys:
    """Credentials provider of the authenticator; accepts the shared key."""

    def __init__(self, public: bytes) -> None:
        self._public = public
        self.rejected = 0

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client's public key in Z85 is the shared one."""
        if key == self._public:
            return True
        self.rejected += 1
        return False


def protect_server(socket: zmq.asyncio.Socket, keys: Keys) -> None:
    """Make a bound socket accept encrypted connections only."""
    socket.curve_server = True
    socket.curve_publickey = keys.public
    socket.curve_secretkey = keys.secret


def protect_client(socket: zmq.asyncio.Socket, keys: Keys) -> None:
    """Make a connecting socket authenticate itself and the server."""
    socket.curve_serverkey = keys.public
    socket.curve_publickey = keys.public
    socket.curve_secretkey = keys.secret


def start_authenticator(
    context: zmq.asyncio.Context, known: KnownKeys
) -> zmq.auth.asyncio.AsyncioAuthenticator:
    """Start to reject clients with unknown keys."""
    authenticator = zmq.auth.asyncio.AsyncioAuthenticator(context)
    authenticator.start()
    authenticator.configure_curve_callback(
        domain='*', credentials_provider=known
    )
    return authenticator
