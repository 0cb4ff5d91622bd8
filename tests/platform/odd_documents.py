"""Tables of odd values and seeded mutations of documents, as another writer may leave them."""

import json
import random
from collections.abc import Iterator, Mapping
from typing import Any

DEEP = "[" * 985 + "]" * 985
# Values that JSON can express but that a field of the expected type can't hold.
ODD_VALUES: dict[str, str] = {
    "null": "null",
    "text": '"x"',
    "list": "[]",
    "object": "{}",
    "nested list": "[[1]]",
    "deep": DEEP,
    "too deep": "[" * 100_000,
    "true": "true",
    "fraction": "1.5",
    "negative": "-1",
    "beyond 64 bits": str(2**64),
    "beyond a double": "1" + "0" * 400,
    "too many digits": "9" * 5000,
    "infinite float": "1e999",
    "Infinity": "Infinity",
    "NaN": "NaN",
    "lone surrogate": '"\\ud800"',
    "line break": '"a\\r\\nb"',
    "long text": '"' + "x" * 20_000 + '"',
    "empty text": '""',
}
ODD_ADDRESSES = (
    "10.0.0.9:99999",
    "10.0.0.9:-1",
    "10.0.0.9:0",
    "10.0.0.9:+80",
    "10.0.0.9: 80",
    "10.0.0.9:\u0663",
    "10.0.0.9:" + "9" * 5000,
    "10.0.0.9",
    ":80",
    "a..b:80",
    "a" * 64 + ".example:80",
    "\u00e9:80",
    "10.0.0.9\r\nX-A: b:80",
    "10.0.0.9\x00:80",
)


def with_value(fields: Mapping[str, Any], path: tuple[Any, ...], value: str) -> bytes:
    """Return the document of `fields` with the JSON text `value` at `path`."""
    marker = "\u2603marker\u2603"
    copied = json.loads(json.dumps(fields))
    place = copied
    for part in path[:-1]:
        place = place[part]
    place[path[-1]] = marker
    return json.dumps(copied, ensure_ascii=False).replace(f'"{marker}"', value).encode()


def paths(value: Any, prefix: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Yield the path of every value in a document, except the document itself."""
    if isinstance(value, dict):
        parts = list(value.items())
    elif isinstance(value, list):
        parts = list(enumerate(value))
    else:
        return
    for name, part in parts:
        yield (*prefix, name)
        yield from paths(part, (*prefix, name))


def odd_documents(fields: Mapping[str, Any]) -> Iterator[tuple[str, bytes]]:
    """Yield a name and a document for each pair of a value of `fields` and an odd value."""
    for path in paths(fields):
        for name, value in ODD_VALUES.items():
            yield f"{'.'.join(map(str, path))} {name}", with_value(fields, path, value)
    whole = json.dumps(fields)
    for name, value in ODD_VALUES.items():
        yield f"unknown field {name}", (whole[:-1] + f', "unknown": {value}}}').encode()


def mutated_documents(fields: Mapping[str, Any], seed: int, count: int) -> Iterator[bytes]:
    """Yield `count` documents with up to three random odd values or damaged bytes."""
    rng = random.Random(seed)
    places = list(paths(fields))
    values = list(ODD_VALUES.values())
    for _ in range(count):
        document = json.dumps(fields).encode()
        for _ in range(rng.randint(1, 3)):
            if rng.random() < 0.7:
                try:
                    current = json.loads(document)
                    document = with_value(current, rng.choice(places), rng.choice(values))
                except (ValueError, RecursionError, LookupError, TypeError):
                    break
            else:
                at = rng.randrange(len(document))
                document = document[:at] + rng.randbytes(rng.randint(0, 3)) + document[at + 1 :]
        yield document
