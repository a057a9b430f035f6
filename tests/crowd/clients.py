"""The crowds of docs/hard-load.md, section 2.1: what their clients send, and how they send it."""

import asyncio
import dataclasses
import json
import socket

HOST = "127.0.0.1"
BODY_BYTES = (1 << 20) - 64
MISSING_BYTES = 54
HEAD_BYTES = 15_000
PIECE_BYTES = 16 << 10
# Connections are opened in groups of this size, so that the listen queue does not overflow.
CONNECTING = 50


@dataclasses.dataclass(frozen=True)
class Place:
    """A port of the process and the target of the requests sent there."""

    name: str
    port: int
    host: str
    path: str

    def request(self, method, *fields, body=b""):
        lines = [f"{method} {self.path} HTTP/1.1", f"Host: {self.host}", *fields]
        return "\r\n".join([*lines, "", ""]).encode() + body

    def post(self, body, announced=None):
        length = len(body) if announced is None else announced
        return self.request("POST", "Content-Type: application/json",
                            f"Content-Length: {length}", body=body)


@dataclasses.dataclass(frozen=True)
class Client:
    """Sends its pieces on one connection and then keeps it open. Reads nothing."""

    pieces: tuple
    pause_s: float = 0
    receive_buffer: int | None = None


def split(data, size):
    return tuple(data[i:i + size] for i in range(0, len(data), size))


def one_piece(place):
    request = place.post(b" " * (BODY_BYTES - MISSING_BYTES), BODY_BYTES)
    return [Client((request,))] * 60


def small_pieces(place):
    request = place.post(b" " * (BODY_BYTES - MISSING_BYTES), BODY_BYTES)
    return [Client(split(request, PIECE_BYTES), pause_s=0.005)] * 60


def chunks(place):
    head = place.request("POST", "Content-Type: application/json", "Transfer-Encoding: chunked")
    body = b"".join(b"%x\r\n%s\r\n" % (len(part), part)
                    for part in split(b" " * BODY_BYTES, PIECE_BYTES))
    return [Client((head, *split(body[:-MISSING_BYTES], PIECE_BYTES)))] * 60


def oversized(place):
    head = place.post(b"", 64 << 20)
    return [Client((head, *[b" " * PIECE_BYTES] * ((8 << 20) // PIECE_BYTES)))] * 20


def empty_objects(count):
    return b'{"spec":"{}","steps":[' + b",".join([b"{}"] * count) + b"]}"


def many_fields(place):
    return ([Client((place.post(empty_objects(340_000)),))] * 12 +
            [Client((place.post(empty_objects(20_000)),))] * 200)


def sent_ahead(place):
    padding = "x" * (BODY_BYTES - len(json.dumps({"spec": "", "steps": []})))
    request = place.post(json.dumps({"spec": padding, "steps": []}).encode())
    return [Client((request,) * 40)] * 20


def slow_heads(place):
    head = place.request("GET", "Padding: " + "x" * HEAD_BYTES)[:HEAD_BYTES]
    return [Client(split(head, HEAD_BYTES // 10), pause_s=0.1)] * 600


def half_way(place):
    stops_in_head = Client((place.request("GET", "Padding: x")[:-6],))
    stops_in_body = Client((place.post(b" " * 100, 200),))
    return [stops_in_head, stops_in_body] * 300


def slow_readers(place):
    return [Client((place.request("GET") * 2000,), receive_buffer=4096)] * 60


def in_progress(place):
    return [Client((place.request("GET") * 15,))] * 100


def jobs_in_progress(place):
    # Under the 4,000 bytes of a `spec`; other fields make up a document of nearly a whole row.
    steps = [{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 100, "note": "x" * 58_000}]
    request = place.post(json.dumps({"spec": "{}", "steps": steps}).encode())
    return [Client((request,) * 15)] * 100


KINDS = {kind.__name__: kind for kind in (
    one_piece, small_pieces, chunks, oversized, many_fields, sent_ahead, slow_heads, half_way,
    slow_readers, in_progress, jobs_in_progress)}
# Kinds during which the store holds the calls for the crowd's own job back for this long, in
# seconds. Calls for other jobs are not held back: a store call times out after 0.9 s, so that
# otherwise no state of a job could be read at all.
STORE_S = {"in_progress": 2, "jobs_in_progress": 2}


class Crowd:
    """The clients of one crowd. They ignore errors, and do not connect again."""

    def __init__(self, place, clients):
        self.place, self.clients = place, clients
        self.sockets, self.sending = [], []
        self.sent_bytes = 0

    async def play(self, seconds):
        """Connects the clients and sends what can be sent within @p seconds; what is left is
        sent in the background."""
        for group in split(self.clients, CONNECTING):
            connected = await asyncio.gather(*map(self.connect, group))
            self.sending += [asyncio.create_task(self.send(client, sock))
                             for client, sock in zip(group, connected) if sock is not None]
        if self.sending:
            await asyncio.wait(self.sending, timeout=seconds)

    async def connect(self, client):
        sock = socket.socket()
        sock.setblocking(False)
        if client.receive_buffer is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, client.receive_buffer)
        try:
            await asyncio.get_running_loop().sock_connect(sock, (HOST, self.place.port))
        except OSError:
            sock.close()
            return None
        self.sockets.append(sock)
        return sock

    async def send(self, client, sock):
        try:
            for piece in client.pieces:
                await asyncio.get_running_loop().sock_sendall(sock, piece)
                self.sent_bytes += len(piece)
                await asyncio.sleep(client.pause_s)
        except OSError:
            pass

    async def leave(self):
        for task in self.sending:
            task.cancel()
        await asyncio.gather(*self.sending, return_exceptions=True)
        for sock in self.sockets:
            sock.close()
