"""A loopback TCP proxy that harms the connections that go through it."""

import asyncio
import enum
import socket
import struct

from standin import Server

CHUNK_BYTES = 16 * 1024


class Harm(enum.Enum):
    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    # Bytes are withheld until the harm ends, as on a link that is cut and heals.
    CUT_TO_SERVER = "cut_to_server"
    CUT_TO_CLIENT = "cut_to_client"
    SILENT = "silent"


class Proxy(Server):
    """Passes connections on to a target address."""

    def __init__(self, loop, host, port, target):
        super().__init__(loop, host, port)
        self.target = target
        self.harm = Harm.NONE
        self.delay_s = 0.0
        self.changed = asyncio.Event()
        # Ends of connections on which nothing is passed on any more.
        self.silent = set()

    def silence_open_connections(self):
        """Nothing comes through any more on the connections that are open now; new ones work."""
        self.loop.call(lambda: self.silent.update(self.writers))

    def set_harm(self, harm, delay_s=0.0):
        def change():
            self.harm = harm
            self.delay_s = delay_s
            self.changed.set()
            self.changed = asyncio.Event()
            if harm is Harm.RESET:
                for writer in list(self.writers):
                    reset(writer)

        self.loop.call(change)

    async def serve(self, reader, writer):
        if self.harm is Harm.RESET:
            reset(writer)
            return
        host, port = self.target.split(":")
        try:
            server_reader, server_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        pair = {writer, server_writer}
        self.writers |= pair
        to_server = asyncio.ensure_future(self.pass_on(reader, server_writer, Harm.CUT_TO_SERVER))
        to_client = asyncio.ensure_future(self.pass_on(server_reader, writer, Harm.CUT_TO_CLIENT))
        try:
            await asyncio.wait({to_server, to_client}, return_when=asyncio.FIRST_EXCEPTION)
        except asyncio.CancelledError:
            pass
        finally:
            to_server.cancel()
            to_client.cancel()
            self.writers -= pair
            self.silent -= pair
            for end in pair:
                end.transport.abort()

    async def pass_on(self, reader, writer, cut):
        """Passes one direction on; raises at an end that both directions share."""
        while True:
            chunk = await reader.read(CHUNK_BYTES)
            while self.harm in (cut, Harm.SILENT):
                await self.changed.wait()
            if self.harm is Harm.DELAY:
                await asyncio.sleep(self.delay_s)
            if not chunk:
                writer.close()
                raise ConnectionResetError
            if writer in self.silent:
                continue
            writer.write(chunk)
            await writer.drain()


def reset(writer):
    """Ends a connection with a reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
