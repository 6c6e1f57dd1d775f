#!/usr/bin/env python3
"""Guards against requests that end an entry VM (issue 52): a chunk size of -1 at the
front address did. Malformed requests by seed at real entry VMs, with a sound client
beside them."""
import asyncio, random, sys

import deployment
from clients import Client

NODES, MACHINES = 2, 2
STEPS = [{"count": 1, "cpu": 500, "mem-mb": 100, "estimated-ms": 20, "work-ms": 20}]
CALLERS = 8
ANSWER_S = 5.0
SIZES = [b"-1", b"-2", b"+1", b"", b"x", b"0x5", b";a=b", b"7fffffff", b"80000000", b"ffffffff",
         b"7fffffffffffffff", b"ffffffffffffffff", b"10000000000000000", b"-ffffffffffffffff"]
LENGTHS = [b"-1", b"+1", b"", b"x", b"1,2", b"99999999999", b"18446744073709551617", b"0x5"]


def sizes(draw):
    return b"Transfer-Encoding: chunked\r\n", draw.choice(SIZES) + b"\r\nhello\r\n0\r\n\r\n"


def later_sizes(draw):
    return b"Transfer-Encoding: chunked\r\n", b"5\r\nhello\r\n" + draw.choice(SIZES) + b"\r\nhello\r\n0\r\n\r\n"


def lengths(draw):
    return b"Content-Length: " + draw.choice(LENGTHS) + b"\r\n", b"hello"


def two_lengths(draw):
    fields = [b"Content-Length: 5\r\n", draw.choice([b"Content-Length: 6\r\n", b"Transfer-Encoding: chunked\r\n"])]
    draw.shuffle(fields)
    return b"".join(fields), b"hello"


def bad_request(draw, host):
    """Returns a request that no server may accept."""
    fields, body = draw.choice([sizes, later_sizes, lengths, two_lengths])(draw)
    return b"POST /quote1/a HTTP/1.1\r\nHost: " + host.encode() + b"\r\n" + fields + b"\r\n" + body


def spoilt(draw, data):
    """Changes some bytes; the answer is then not known."""
    data = bytearray(data)
    for _ in range(draw.randint(1, 4)):
        data[draw.randrange(len(data))] = draw.randrange(256)
    return bytes(data[:draw.randint(1, len(data))])


class BadCallers:
    def __init__(self, deployed, requests, seed):
        self.deployed, self.remaining, self.seed = deployed, requests, seed
        self.refused = 0

    async def send(self, node, data):
        """Returns the status, or 0 if the connection closed without one."""
        ip, port = self.deployed.nodes[node]["front"].split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            writer.write(data)
            writer.write_eof()
            answer = await asyncio.wait_for(reader.read(), ANSWER_S)
            return int(answer.split(b" ")[1]) if answer else 0
        except ConnectionError:
            return 0
        finally:
            writer.close()

    async def call(self, number):
        draw = random.Random(self.seed * 1000 + number)
        host = self.deployed.route(deployment.QUEUE)["host"]
        while self.remaining > 0 and not self.deployed.breaks:
            self.remaining -= 1
            node = draw.choice(list(self.deployed.nodes))
            data = bad_request(draw, host)
            is_spoilt = draw.random() < 0.3
            if is_spoilt:
                data = spoilt(draw, data)
            try:
                status = await self.send(node, data)
            except (OSError, TimeoutError) as error:
                self.deployed.broken(f"{node} did not answer or close: {error!r} after {data!r}")
                return
            if not is_spoilt and status not in (400, 413):
                self.deployed.broken(f"{node} answered {status} to {data!r}")
            self.refused += status in (400, 413)


async def scenario(deployed, requests, seed):
    await deployed.settled(NODES, MACHINES)
    callers = BadCallers(deployed, requests, seed)
    calls = [deployed.spawn(callers.call(number)) for number in range(CALLERS)]
    client, accepted = Client(deployed, random.Random(seed)), 0
    while accepted == 0 or not all(call.done() for call in calls):
        for node in deployed.nodes:
            told = await client.call(client.new_job(STEPS), "POST", node, 5000)
            accepted += told.status == 200
            if told.status != 200:
                deployed.broken(f"a sound client was answered {told.status} at {node}")
        if deployed.breaks:
            break
        await asyncio.sleep(0.2)
    for node in deployed.nodes:
        if not deployed.is_up(node):
            deployed.broken(f"{node} ended with {deployed.nodes[node]['process'].returncode}")
    print(f"{requests - callers.remaining} requests, {callers.refused} refused, {accepted} jobs accepted beside them")


def main():
    program, record, requests, seed = *sys.argv[1:3], int(sys.argv[3]), int(sys.argv[4])
    broken = deployment.run(lambda deployed: scenario(deployed, requests, seed), record, program, 60 + requests / 200)
    for text in broken:
        print(text)
    print("broken" if broken else "held")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
