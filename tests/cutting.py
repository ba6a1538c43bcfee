"""A server that breaks off its answers after any number of bytes."""

import socket
import struct
import threading
import time

# Lets the client read what was written before the connection is reset.
RESET_PAUSE_S = 0.002
# The arguments of SO_LINGER: on, for 0 s. The kernel then closes the socket with a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
ENDS = ("close", "reset")


def end_connection(connection, end):
    """Close a connection in order, or with a TCP reset."""
    if end == "reset":
        time.sleep(RESET_PAUSE_S)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    connection.close()


def read_request(connection):
    """Return the bytes of a request with a content length or without a body."""
    data = b""
    while b"\r\n\r\n" not in data:
        received = connection.recv(65_536)
        if not received:
            raise ConnectionError
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    rows = [row.partition(b":") for row in head.lower().split(b"\r\n")]
    length = next((int(value) for name, _, value in rows if name == b"content-length"), 0)
    while len(body) < length:
        body += connection.recv(65_536)
    return head + b"\r\n\r\n" + body


class CuttingServer:
    """Answers with the first ``cut`` bytes of ``answer`` and ends the connection by ``end``.

    With a ``cut`` of None, it sends the whole answer and keeps the connection. ``requests`` has the
    requests that it received, ``connections`` is the number of connections.
    """

    def __init__(self, answer=b"", end="close"):
        self.answer, self.end, self.cut = answer, end, None
        self.requests, self.connections = [], 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Stop listening."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        try:
            while True:
                self.requests.append(read_request(connection))
                cut = self.cut
                connection.sendall(self.answer[:cut])
                if cut is not None:
                    end_connection(connection, self.end)
                    return
        except OSError:
            connection.close()
