"""Check of addresses that other writers have stored."""

import ipaddress

MAX_PORT = 65_535


def is_address(text: str) -> bool:
    """Return whether a text is ``IPv4:PORT``."""
    host, _, port = text.rpartition(':')
    if not (port.isascii() and port.isdecimal() and len(port) <= 5):
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return 0 < int(port) <= MAX_PORT
