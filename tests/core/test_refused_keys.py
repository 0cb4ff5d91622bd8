"""Guards against a remembered refusal that hides a key after its bound, or refuses another call."""

import testtools
from marigolddoor_core.jobs import NO_KEY, digest_key
from marigolddoor_core.queue_calls import QueueCall, QueueMethod
from marigolddoor_core.routing.refused_keys import MAX_KEYS, RefusedKeys

KEY = digest_key("x")


class RefusedKeyTest(testtools.TestCase):
    """Only calls with the same key to the same folder are refused, until the given time."""

    scenarios = [
        (
            f"{name}, after {after_s} s",
            {"key": key, "host": host, "path": path, "after_s": after_s, "expected": expected},
        )
        for name, key, host, path, after_s, expected in (
            ("same call", KEY, "a", "/q/1", 0.9, True),
            ("other job", KEY, "a", "/q/2", 0.9, True),
            ("list", KEY, "a", "/q/", 0.9, True),
            ("other queue", KEY, "a", "/open/1", 0.9, False),
            ("other host", KEY, "b", "/q/1", 0.9, False),
            ("other key", digest_key("y"), "a", "/q/1", 0.0, False),
            ("no key", NO_KEY, "a", "/q/1", 0.0, False),
            ("same call", KEY, "a", "/q/1", 1.0, False),
        )
    ]

    def test_refusal(self) -> None:
        refused = RefusedKeys()
        refused.add(QueueCall(QueueMethod.SUBMIT, "a", "/q/1", key=KEY), 51.0)
        call = QueueCall(QueueMethod.READ, self.host, self.path, key=self.key)
        self.assertEqual(self.expected, refused.holds(call, 50.0 + self.after_s))

    def test_bound(self) -> None:
        refused = RefusedKeys()
        for number in range(3 * MAX_KEYS):
            key = digest_key(str(number))
            refused.add(QueueCall(QueueMethod.READ, "a", "/q/1", key=key), 50.0)
        self.assertEqual(MAX_KEYS, len(refused.refused_until))
