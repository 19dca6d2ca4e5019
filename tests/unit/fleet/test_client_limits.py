"""Decisions on what clients may occupy."""

from samphirestack.fleet import client_limits

LIMITS = client_limits.Bounds(connections=3, input_bytes=1000)


def create() -> client_limits.Clients:
    return client_limits.Clients(LIMITS)


def idle_client(
    clients: client_limits.Clients, name: str, now: float
) -> client_limits.Client:
    client = clients.open(name, now)
    clients.receive(client, 100, now)
    clients.finish(client)
    clients.answer(client, True, now)
    return client


class TestBounds:
    """Guards against limits that ordinary clients meet."""

    def test_the_smallest_machine_takes_many_clients(self) -> None:
        bounds = client_limits.bounds(160, 1638)
        assert bounds.connections >= 500
        assert bounds.input_bytes >= 16 * 262_144

    def test_connections_grow_with_the_descriptors(self) -> None:
        assert client_limits.bounds(552, 8192).connections >= 2000

    def test_connections_stay_within_the_memory(self) -> None:
        bounds = client_limits.bounds(160, 1_000_000)
        size = bounds.connections * client_limits.CONNECTION_BYTES
        assert size <= 160 * client_limits.MB / 4

    def test_a_tiny_machine_takes_a_client(self) -> None:
        assert client_limits.bounds(1, 1).connections == 1


class TestConnections:
    """Guards against a crowd that keeps ordinary callers out."""

    def test_no_connection_gives_way_below_the_limit(self) -> None:
        clients = create()
        newest = [clients.open(name, 0.0) for name in 'abc'][-1]
        assert clients.connection_to_close(newest) is None

    def test_the_oldest_unfinished_request_gives_way(self) -> None:
        clients = create()
        idle_client(clients, 'a', 0.0)
        oldest = clients.open('b', 1.0)
        clients.open('c', 2.0)
        assert clients.connection_to_close(clients.open('d', 3.0)) is oldest

    def test_small_input_does_not_make_a_request_newer(self) -> None:
        clients = create()
        oldest = clients.open('a', 0.0)
        clients.open('b', 1.0)
        clients.open('c', 2.0)
        clients.receive(oldest, 1, 3.0)
        assert clients.connection_to_close(clients.open('d', 3.0)) is oldest

    def test_progress_makes_a_request_newer(self) -> None:
        clients = create()
        oldest = clients.open('a', 0.0)
        second = clients.open('b', 1.0)
        clients.open('c', 2.0)
        clients.receive(oldest, client_limits.PROGRESS_BYTES, 3.0)
        assert clients.connection_to_close(clients.open('d', 3.0)) is second

    def test_the_longest_idle_connection_gives_way(self) -> None:
        clients = create()
        first, second = (
            idle_client(clients, name, now)
            for name, now in zip('ab', (0.0, 1.0), strict=True)
        )
        idle_client(clients, 'c', 2.0)
        clients.receive(first, 100, 3.0)
        clients.finish(first)
        assert clients.connection_to_close(clients.open('d', 3.0)) is second

    def test_a_request_that_was_received_never_gives_way(self) -> None:
        clients = create()
        for name in 'abc':
            client = clients.open(name, 0.0)
            clients.receive(client, 100, 0.0)
            clients.finish(client)
        newest = clients.open('d', 1.0)
        assert clients.connection_to_close(newest) is newest

    def test_a_client_that_does_not_read_gives_way(self) -> None:
        clients = create()
        opened = [clients.open(name, 0.0) for name in 'abc']
        for client in opened:
            clients.receive(client, 100, 0.0)
            clients.finish(client)
        blocked = opened[1]
        clients.block(blocked, 1.0)
        assert clients.connection_to_close(clients.open('d', 2.0)) is blocked


class TestInput:
    """Guards against input that occupies the memory of the process."""

    def test_the_oldest_unfinished_request_gives_way(self) -> None:
        clients = create()
        idle_client(clients, 'a', 0.0)
        clients.open('b', 0.0)
        oldest, newest = clients.open('c', 1.0), clients.open('d', 2.0)
        clients.receive(oldest, 500, 3.0)
        clients.receive(newest, 500, 3.0)
        assert clients.input_to_drop(newest) is None
        clients.receive(newest, 1, 3.0)
        assert clients.input_to_drop(newest) is oldest
        clients.close(oldest)
        assert clients.input_to_drop(newest) is None

    def test_a_request_that_was_received_never_gives_way(self) -> None:
        clients = create()
        received, newest = clients.open('a', 0.0), clients.open('b', 1.0)
        clients.receive(received, 1000, 1.0)
        clients.finish(received)
        clients.receive(newest, 1, 2.0)
        assert clients.input_to_drop(newest) is newest

    def test_an_answer_releases_the_input(self) -> None:
        clients = create()
        idle_client(clients, 'a', 0.0)
        assert clients.held_bytes == 0

    def test_a_closed_connection_releases_its_input_once(self) -> None:
        clients = create()
        client = clients.open('a', 0.0)
        clients.receive(client, 100, 0.0)
        clients.close(client)
        clients.close(client)
        clients.answer(client, True, 1.0)
        assert clients.held_bytes == 0
        assert len(clients) == 0

    def test_a_part_of_a_pipelined_request_stays_counted(self) -> None:
        clients = create()
        client = clients.open('a', 0.0)
        clients.receive(client, 100, 0.0)
        clients.finish(client)
        clients.receive(client, 50, 0.0)
        clients.answer(client, False, 1.0)
        assert clients.held_bytes == 150
        assert clients.overdue(1.0 + client_limits.LONGEST_REQUEST_S)


class TestProgress:
    """Guards against connections that stay open without progress."""

    def test_a_request_without_progress_is_overdue(self) -> None:
        clients = create()
        client = clients.open('a', 0.0)
        clients.receive(client, 10, 5.0)
        assert not clients.overdue(5.0 + client_limits.REQUEST_S)
        assert clients.overdue(6.0 + client_limits.REQUEST_S) == [client]

    def test_a_large_request_has_more_time(self) -> None:
        clients = create()
        client = clients.open('a', 0.0)
        size = 10 * client_limits.BYTES_PER_S
        clients.receive(client, size, 0.0)
        assert not clients.overdue(10.0 + client_limits.REQUEST_S)
        assert clients.overdue(11.0 + client_limits.REQUEST_S) == [client]

    def test_no_request_lasts_for_ever(self) -> None:
        clients = create()
        client = clients.open('a', 0.0)
        clients.receive(client, 100 * client_limits.MB, 0.0)
        assert clients.overdue(client_limits.LONGEST_REQUEST_S + 1)

    def test_a_connection_without_a_request_is_overdue(self) -> None:
        clients = create()
        client = clients.open('a', 0.0)
        assert not clients.overdue(client_limits.FIRST_REQUEST_S)
        assert clients.overdue(client_limits.FIRST_REQUEST_S + 1) == [client]

    def test_an_idle_connection_is_not_overdue(self) -> None:
        clients = create()
        idle_client(clients, 'a', 0.0)
        assert not clients.overdue(1e6)

    def test_the_next_request_has_its_own_time(self) -> None:
        clients = create()
        client = idle_client(clients, 'a', 0.0)
        clients.receive(client, 1, 1000.0)
        assert not clients.overdue(1001.0)

    def test_a_client_that_reads_again_is_not_overdue(self) -> None:
        clients = create()
        client = idle_client(clients, 'a', 0.0)
        clients.block(client, 1.0)
        assert clients.overdue(2.0 + client_limits.UNREAD_S) == [client]
        clients.unblock(client, is_received=True, is_answered=True)
        assert not clients.overdue(2.0 + client_limits.UNREAD_S)

    def test_a_further_request_does_not_excuse_unread_answers(self) -> None:
        clients = create()
        client = idle_client(clients, 'a', 0.0)
        clients.receive(client, 100, 1.0)
        clients.finish(client)
        clients.block(client, 1.0)
        clients.receive(client, 100, 1.0)
        clients.finish(client)
        assert clients.overdue(2.0 + client_limits.UNREAD_S) == [client]

    def test_an_unfinished_request_stays_bounded_after_a_pause(self) -> None:
        clients = create()
        client = idle_client(clients, 'a', 0.0)
        clients.block(client, 1.0)
        clients.receive(client, 100, 2.0)
        clients.unblock(client, is_received=False, is_answered=True)
        assert not clients.overdue(3.0)
        assert clients.overdue(3.0 + client_limits.REQUEST_S) == [client]
