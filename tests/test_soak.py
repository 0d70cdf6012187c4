"""Short seeded runs of the soak, seeds that once failed, and its signals."""

import asyncio
import dataclasses
import signal
import sys

import pytest

from bench.soak import environment
from bench.soak import programs
from bench.soak import run

SMALL = environment.Sizes(balancers=2, targets=3, callers=8)
WITHOUT_COMPETITION = dataclasses.replace(SMALL, competing_callers=0)
WITHOUT_ODD_VALUES = dataclasses.replace(
    WITHOUT_COMPETITION, odd_values=False, idle_flows=0
)
WITHOUT_STALLS = dataclasses.replace(WITHOUT_ODD_VALUES, stalls=False)
WITHOUT_EVACUATIONS = dataclasses.replace(WITHOUT_STALLS, evacuations=False)
WITHOUT_LATER_FAULTS = environment.Sizes(
    connections=False,
    evacuations=False,
    stalls=False,
    odd_values=False,
    idle_flows=0,
    competing_callers=0,
)


@pytest.mark.parametrize(
    ("seed", "seconds", "sizes"),
    [
        (7, 6.0, WITHOUT_EVACUATIONS),
        (8, 6.0, WITHOUT_STALLS),
        (9, 12.0, WITHOUT_ODD_VALUES),
        # A restarted target accepted flows before its first heartbeat; its
        # side process then treated them as flows of the former incarnation
        # and denied them.
        (101, 10.0, WITHOUT_LATER_FAULTS),
        # The refusal of a late retransmission of an opening packet reset its
        # flow.
        (139, 10.0, WITHOUT_LATER_FAULTS),
        (10, 12.0, WITHOUT_COMPETITION),
        (11, 10.0, environment.Sizes(targets=18, competing_callers=0)),
        (800, 8.0, SMALL),
    ],
)
def test_short_soak_has_no_violations(tmp_path, seed, seconds, sizes):
    violations, outcomes, faults = asyncio.run(
        run.soak(tmp_path, seed, seconds, sizes)
    )
    assert violations == [], faults
    assert outcomes["answered"] > 0
    if sizes.idle_flows:
        assert outcomes["idle flows used"] > 0
    if sizes.competing_callers:
        assert outcomes["waits of urgent requests"] > 0
        assert outcomes["usual requests in turn"] > 0
    if sizes.stalls:
        assert outcomes["probes to be refused"] > 0


def run_program(folder, monkeypatch, text, disturb):
    """Runs Python text as a program, and returns its faults once disturbed.

    The program exits with status 7 when a reload that it blocks is pending.
    """
    interpreter, begun = folder / "interpreter", folder / "begun"
    interpreter.write_text(
        f"#!{sys.executable} -S\nimport signal, socket, sys, time\n{text}\n"
        f"open({str(begun)!r}, 'w')\n"
        "while signal.SIGHUP not in signal.sigpending(): time.sleep(0.01)\n"
        "sys.exit(7)\n"
    )
    interpreter.chmod(0o700)
    monkeypatch.setattr(sys, "executable", str(interpreter))

    async def script():
        program = programs.Program("any", "p0", folder / "p0.toml")
        task = asyncio.create_task(program.run())
        async with asyncio.timeout(20.0):
            while not begun.exists():
                await asyncio.sleep(0.01)
        await disturb(program)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return program.faults

    return asyncio.run(script())


# The first case guards against reloads that end processes which a busy machine
# starts slowly, the others against reloads that are left out later.
@pytest.mark.parametrize(
    ("text", "faults"),
    [
        ("", []),
        ("s = socket.socket()", ["p0 ended by itself: -1"]),
        (
            "while time.process_time() < 0.3: pass",
            ["p0 ended by itself: -1"],
        ),
        (
            "signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])",
            ["p0 ended by itself: 7"],
        ),
    ],
)
def test_reload_is_sent_once_interpreter_has_loaded(
    tmp_path, monkeypatch, text, faults
):
    async def reload(program):
        await asyncio.sleep(0.3)
        program.send(signal.SIGHUP)
        await asyncio.sleep(1.0)

    assert run_program(tmp_path, monkeypatch, text, reload)[:1] == faults


# The first case guards against "did not end when stopped" of processes that
# are paused meanwhile, the second against processes that never end, even if
# they are paused when the limit passes.
@pytest.mark.parametrize(
    ("pause_s", "drain_s", "faults"),
    [(1.9, 0.5, []), (2.5, 60.0, ["p0 did not end when stopped"])],
)
def test_pause_does_not_count_towards_limit_of_stop(
    tmp_path, monkeypatch, pause_s, drain_s, faults
):
    async def terminate(program):
        pause = asyncio.create_task(program.pause(pause_s))
        await asyncio.sleep(0.1)
        await program.terminate()
        await pause

    monkeypatch.setattr(programs, "TERMINATE_TIMEOUT_S", 2.0)
    drain = f"lambda *_: (time.sleep({drain_s}), sys.exit())"
    text = f"signal.signal(signal.SIGTERM, {drain})"
    assert run_program(tmp_path, monkeypatch, text, terminate)[:1] == faults


# Guards against a stop without a limit, because a process counts as paused.
def test_pause_between_processes_does_not_pause_the_next(tmp_path, monkeypatch):
    async def pause_after_kill(program):
        program.kill()
        await asyncio.sleep(0.1)
        pause = asyncio.create_task(program.pause(3.0))
        await asyncio.sleep(2.0)
        assert not program.paused
        await pause

    assert run_program(tmp_path, monkeypatch, "", pause_after_kill) == []
