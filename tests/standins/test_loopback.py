"""Guards against two runs of the tests, or two tests of a run, that use the same address.

Six tests on real processes failed once each while another run or a helper used the machine: ports
were found to be free, and were taken before the process under test listened on them.
"""

import socket
import subprocess
import sys

import testtools
from marigolddoor_standins.loopback import LoopbackBlock, free_address, free_host, free_port

PRINT_HOST = "from marigolddoor_standins.loopback import free_host; print(free_host()); input()"


class BlockTest(testtools.TestCase):
    """Each block belongs to one owner, whichever number it asks for."""

    scenarios = [
        ("same number", {"numbers": [7000, 7000, 7000]}),
        ("neighbours", {"numbers": [7000, 7001, 7000]}),
        ("last number", {"numbers": [64_999, 64_999]}),
        ("larger than the number of blocks", {"numbers": [4_194_303, 4_194_303]}),
    ]

    def test_distinct(self) -> None:
        blocks = [LoopbackBlock(number) for number in self.numbers]
        for block in blocks:
            self.addCleanup(block.claim.close)
        self.assertEqual(len(blocks), len({block.prefix for block in blocks}))
        for block in blocks:
            with socket.create_server((block.free_host(), block.free_port())):
                self.assertTrue(block.prefix.startswith("127."))


class ProcessTest(testtools.TestCase):
    """Processes that run at the same time have no address in common."""

    def test_distinct_hosts(self) -> None:
        command = [sys.executable, "-c", PRINT_HOST]
        pipe = subprocess.PIPE
        children = [subprocess.Popen(command, stdin=pipe, stdout=pipe, text=True) for _ in range(3)]
        hosts = [free_host()]
        for child in children:
            assert child.stdout is not None
            hosts.append(child.stdout.readline().strip())
        for child in children:
            child.communicate("\n")
        self.assertEqual(4, len({host.rpartition(".")[0] for host in hosts}))

    def test_distinct_ports(self) -> None:
        self.assertEqual(100, len({free_port() for _ in range(100)}))
        self.assertNotEqual(free_address(), free_address())
