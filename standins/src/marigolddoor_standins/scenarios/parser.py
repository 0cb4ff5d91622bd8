"""Parses scenario text into typed steps."""

from collections.abc import Iterable
from importlib import resources

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedInput, UnexpectedToken
from marigolddoor_core.errors import InvalidInputError
from marigolddoor_core.ids import DataCentreId, JobId, PoolId, RackId, VmId

from marigolddoor_standins.scenarios import steps
from marigolddoor_standins.virtual.checks import Promise

__all__ = ["ScenarioError", "parse"]

TERMINAL_DESCRIPTIONS = {
    "_NL": "the end of the line",
    "$END": "the end of the file",
    "NAME": "a name",
    "INT": "a whole number",
    "NUMBER": "a number",
    "SUBJECT": "the subject of a question",
    "KIND": "`VM`, `rack` or `data centre`",
}
PROMISES = {
    "budgets": Promise.BUDGETS,
    "one_pool": Promise.ONE_POOL,
    "not_lost": Promise.NOT_LOST,
    "not_twice": Promise.NOT_TWICE,
}

Node = Tree[Token]


class ScenarioError(InvalidInputError):
    """A scenario is invalid at a line and a column, both counted from 1."""

    def __init__(self, line: int, column: int, text: str) -> None:
        super().__init__(f"line {line}, column {column}: {text}")
        self.line = line
        self.column = column


GRAMMAR = resources.files(__package__).joinpath("grammar.lark").read_text()
PARSER = Lark(GRAMMAR, parser="lalr", maybe_placeholders=True, propagate_positions=True)


def parse(text: str) -> steps.Scenario:
    """Return the scenario.

    Raises:
      ScenarioError: the text is not a scenario, or uses an undeclared name.
    """
    # The grammar requires a line end after every statement, which the last line may lack.
    source = text + "\n"
    try:
        tree = PARSER.parse(source)
    except UnexpectedInput as error:
        raise _syntax_error(error) from error
    return _ScenarioBuilder(source.splitlines()).build(tree.children)  # type: ignore[arg-type]


def _syntax_error(error: UnexpectedInput) -> ScenarioError:
    expected = error.accepts if isinstance(error, UnexpectedToken) else error.allowed  # type: ignore[attr-defined]
    patterns = {terminal.name: terminal.pattern for terminal in PARSER.terminals}
    names = sorted(
        TERMINAL_DESCRIPTIONS.get(name) or f"`{patterns[name].value}`"
        for name in expected or ()
        if name in TERMINAL_DESCRIPTIONS or name in patterns
    )
    names = [name for name in names if not name.startswith(("`#", "`["))]
    return ScenarioError(error.line, error.column, f"expected {' or '.join(names)}")


class _ScenarioBuilder:
    def __init__(self, lines: list[str]) -> None:
        self.lines = lines
        self.pools: list[steps.PoolStep] = []
        self.racks: list[steps.RackStep] = []
        self.jobs: list[steps.JobStep] = []
        self.faults: list[steps.Fault] = []
        self.expectations: list[steps.Expectation] = []
        self.names: dict[str, set[str]] = {
            "pool": set(), "rack": set(), "data centre": set(), "VM": set(), "job": set(),
        }  # fmt: skip

    def build(self, statements: Iterable[Node]) -> steps.Scenario:
        for statement in statements:
            if statement.data == "pool":
                self._pool(statement)
            elif statement.data == "rack":
                self._rack(statement)
            elif statement.data == "job":
                self._job(statement)
            elif statement.data == "fault":
                time, event = statement.children
                text = self.lines[statement.meta.line - 1].split("#")[0].strip()
                self.faults.append(steps.Fault(_seconds(time) or 0.0, self._event(event), text))  # type: ignore[arg-type]
            else:
                self.expectations.append(self._expectation(statement))
        return steps.Scenario(
            tuple(self.pools),
            tuple(self.racks),
            tuple(self.jobs),
            tuple(self.faults),
            tuple(self.expectations),
        )

    def _declare(self, kind: str, token: Token) -> str:
        if token in self.names[kind]:
            raise _error_at(token, f"expected a new name; the {kind} `{token}` is already declared")
        self.names[kind].add(str(token))
        return str(token)

    def _resolve(self, kind: str, token: Token) -> str:
        if token not in self.names[kind]:
            raise _error_at(token, f"expected a {kind} declared above; `{token}` is not declared")
        return str(token)

    def _pool(self, node: Node) -> None:
        name, size, floor, budget, spare = node.children
        pool = PoolId(self._declare("pool", name))  # type: ignore[arg-type]
        self.pools.append(
            steps.PoolStep(pool, _int(size), _int(floor), _int(budget), spare is not None)
        )

    def _rack(self, node: Node) -> None:
        name, data_centre, workers, pool = node.children
        pool_name = self._resolve("pool", pool)  # type: ignore[arg-type]
        rack = RackId(self._declare("rack", name))  # type: ignore[arg-type]
        self.names["data centre"].add(str(data_centre))
        first = sum(step.workers for step in self.racks if step.pool == pool_name)
        self.names["VM"].update(f"{pool_name}-{first + n}" for n in range(_int(workers)))
        data_centre_id = DataCentreId(str(data_centre))
        self.racks.append(steps.RackStep(rack, data_centre_id, _int(workers), PoolId(pool_name)))

    def _job(self, node: Node) -> None:
        name, pool, urgent, tasks, duration, cores, factor = node.children
        pool_id = PoolId(self._resolve("pool", pool))  # type: ignore[arg-type]
        job = JobId(self._declare("job", name))  # type: ignore[arg-type]
        run_s = _seconds(duration.children[0]) if duration.children else None  # type: ignore[union-attr]
        task_cores = _int(cores.children[0]) if cores is not None else None  # type: ignore[union-attr]
        usage_factor = float(factor.children[0]) if factor is not None else 1.0  # type: ignore[union-attr,arg-type]
        self.jobs.append(
            steps.JobStep(
                job, pool_id, urgent is not None, _int(tasks), run_s, task_cores, usage_factor
            )
        )

    def _event(self, node: Node) -> steps.Event:
        parts: list = node.children  # type: ignore[type-arg]
        match node.data:
            case "lose" | "return_":
                kind, token = parts[0].children
                scope, name = steps.Scope(str(kind)), self._resolve(str(kind), token)
                if node.data == "lose":
                    return steps.Lose(scope, name, _seconds(parts[1]))
                return steps.Return(scope, name)
            case "cut_off":
                data_centre = DataCentreId(self._resolve("data centre", parts[0]))
                return steps.CutOff(data_centre, _seconds(parts[1]))
            case "change_leader":
                return steps.ChangeLeader(_seconds(parts[0]) or 0.0)
            case "delay_reports":
                return steps.DelayReports(_seconds(parts[0]) or 0.0, _seconds(parts[1]) or 0.0)
            case "fail_worker":
                return steps.FailWorker(VmId(self._resolve("VM", parts[0])), _seconds(parts[1]))
            case "submit":
                return steps.Submit(_int(parts[0]), JobId(self._resolve("job", parts[1])))
            case "cancel":
                return steps.Cancel(_int(parts[0]), JobId(self._resolve("job", parts[1])))
            case "demand":
                return steps.Demand(PoolId(self._resolve("pool", parts[0])), _int(parts[1]))
            case _:
                return steps.Drain(PoolId(self._resolve("pool", parts[0])))

    def _expectation(self, node: Node) -> steps.Expectation:
        if node.data in PROMISES:
            return steps.Always(PROMISES[node.data])
        deadline, token = node.children
        by_s = _seconds(deadline) or 0.0
        if node.data == "wave_done":
            return steps.WaveDone(by_s, PoolId(self._resolve("pool", token)))  # type: ignore[arg-type]
        if node.data == "job_done":
            return steps.JobDone(by_s, JobId(self._resolve("job", token)))  # type: ignore[arg-type]
        if node.data == "moved":
            return steps.Moved(by_s, PoolId(self._resolve("pool", token)))  # type: ignore[arg-type]
        return steps.Question(by_s, str(token))


def _error_at(token: Token, text: str) -> ScenarioError:
    return ScenarioError(token.line or 0, token.column or 0, text)


def _int(token: object) -> int:
    return int(str(token))


def _seconds(node: object) -> float | None:
    return float(str(node.children[0])) if isinstance(node, Tree) else None
