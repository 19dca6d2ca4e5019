"""Counts the bytes of processes on the loopback interface.

Bytes are counted as they would be on a network, with the IP and TCP
headers.  This needs the right to open a packet socket.
"""

import collections
from collections.abc import Iterator
import socket
import struct
import threading

import psutil

ETHERNET_BYTES = 14
IP_PROTOCOL = 0x0800
TCP = 6
RECEIVED = 0
"""Packet type; the loopback interface shows every packet twice."""
HEADERS_BYTES = 128
BUFFER_BYTES = 64 * 1024 * 1024
OWNER_INTERVAL_S = 0.1
RECEIVE_TIMEOUT_S = 0.2


class TrafficMeter:
    """Counts bytes per pair of ports until stopped.

    :param pids_by_name: processes to which ports are attributed.
    :param ignored: ports whose traffic is not counted.
    """

    def __init__(
        self, pids_by_name: dict[str, int], ignored: set[int]
    ) -> None:
        self._ignored = ignored
        self._processes = {
            name: psutil.Process(pid) for name, pid in pids_by_name.items()
        }
        self._bytes_by_ports: collections.Counter[tuple[int, int]] = (
            collections.Counter()
        )
        self._name_by_port: dict[int, str] = {}
        self._stopped = threading.Event()
        self._threads = (
            threading.Thread(target=self._count, daemon=True),
            threading.Thread(target=self._find_owners, daemon=True),
        )

    def start(self) -> None:
        """Begin to count."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """End counting."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def bytes_by_name(self) -> dict[str, int]:
        """Return the bytes sent and received by each process."""
        counted: collections.Counter[str] = collections.Counter()
        for ports, size in self._counted():
            for name in self._names(ports):
                counted[name] += size
        return dict(counted)

    def bytes_to(self, servers: set[int]) -> int:
        """Return the bytes of all connections to some listening ports."""
        return sum(size for ports, size in self._counted() if servers & ports)

    def bytes_unattributed(self, servers: set[int]) -> int:
        """Return the bytes to ``servers`` that belong to no process.

        These are connections that were too short to be seen.
        """
        return sum(
            size
            for ports, size in self._counted()
            if servers & ports and not self._names(ports)
        )

    def _counted(self) -> Iterator[tuple[set[int], int]]:
        for pair, size in self._bytes_by_ports.items():
            ports = set(pair)
            if not self._ignored & ports:
                yield ports, size

    def _names(self, ports: set[int]) -> set[str]:
        return {
            self._name_by_port[port]
            for port in ports
            if port in self._name_by_port
        }

    def _count(self) -> None:
        with socket.socket(
            socket.AF_PACKET, socket.SOCK_RAW, socket.htons(IP_PROTOCOL)
        ) as sniffer:
            sniffer.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES
            )
            sniffer.bind(('lo', IP_PROTOCOL))
            sniffer.settimeout(RECEIVE_TIMEOUT_S)
            while not self._stopped.is_set():
                try:
                    data, address = sniffer.recvfrom(HEADERS_BYTES)
                except TimeoutError:
                    continue
                if address[2] == RECEIVED:
                    self._count_packet(data[ETHERNET_BYTES:])

    def _count_packet(self, data: bytes) -> None:
        if len(data) < 20 or data[9] != TCP:
            return
        (size,) = struct.unpack_from('!H', data, 2)
        header = (data[0] & 15) * 4
        ports = struct.unpack_from('!HH', data, header)
        self._bytes_by_ports[ports] += size

    def _find_owners(self) -> None:
        while not self._stopped.wait(OWNER_INTERVAL_S):
            for name, process in self._processes.items():
                try:
                    connections = process.net_connections('tcp')
                except psutil.Error:
                    continue
                for connection in connections:
                    if connection.laddr:
                        self._name_by_port[connection.laddr.port] = name
