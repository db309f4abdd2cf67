"""A server: `server.py FOLDER NAME`. Runs a request once its last byte has come, and answers it some milliseconds later.

Writes its address to FOLDER/NAME.address, and the ids of what it begins to read and runs to FOLDER/NAME.runs.
"""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from stand_in import read_head

WORK = (0.004, 0.012)


async def skip(reader, length):
    while length > 0:
        piece = await reader.read(min(length, 1 << 18))
        if not piece:
            raise ConnectionResetError
        length -= len(piece)


async def main():
    folder, name = sys.argv[1:]
    runs = open(os.path.join(folder, name + ".runs"), "w", buffering=1)

    async def serve(reader, writer):
        try:
            while True:
                _, headers = await read_head(reader)
                length = int(headers.get("content-length", 0))
                runs.write(f"reads {headers['x-correlation-id']} {length}\n")
                await skip(reader, length)
                runs.write(f"runs {headers['x-correlation-id']} {length}\n")
                await asyncio.sleep(random.uniform(*WORK))
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    path = os.path.join(folder, name + ".address")
    with open(path + ".new", "w") as file:
        file.write("127.0.0.1:%d" % server.sockets[0].getsockname()[1])
    os.rename(path + ".new", path)
    await server.serve_forever()


asyncio.run(main())
