"""Faults that meet a gateway while it starts, or while it reads its settings."""

import random
import signal
import socket

import trio

from soak.neighbours import StartTrouble
from soak.processes import WAIT_POLL_S, GatewayProcess
from soak.site import SoakSite

STOP_SIGNALS = (signal.SIGTERM, signal.SIGTERM, signal.SIGKILL)
START_SIGNALS = (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP, signal.SIGKILL)
PORT_KINDS = ("front", "ready", "peer", "datagrams")
TAKEN_RANGE_S = (0.3, 3.0)
AFTER_START_RANGE_S = (0.0, 0.4)
SPOILED_RANGE_S = (0.02, 0.3)
SIGNAL_COUNTS = (1, 1, 2, 3)
# A gateway that is suspended, or stands still, may not end; then there is no start.
END_TIMEOUT_S = 6.0
UNKNOWN_KEY = "\n[observe]\nlog_levle = info\n"


async def trouble_start(site: SoakSite, rng: random.Random) -> None:
    """Take a port of a gateway that starts, signal it, or spoil its settings."""
    gateway = rng.choice(site.gateways)
    with site.neighbours.alone(f"start of {gateway.name}") as is_alone:
        if not is_alone:
            return
        trouble = rng.choice((_take_port, _signal_start, _spoil_settings))
        try:
            description = await trouble(gateway, rng)
        finally:
            gateway.is_held = False
        ended = StartTrouble(description, gateway, trio.current_time())
        site.neighbours.start_troubles.append(ended)
        site.neighbours.met.append(f"{description} at {gateway.name}")


async def _end(gateway: GatewayProcess, rng: random.Random) -> None:
    """End the process of a gateway, which isn't started again while it is held."""
    gateway.is_held = True
    incarnation = gateway.incarnation
    gateway.send_signal(rng.choice(STOP_SIGNALS))
    with trio.move_on_after(END_TIMEOUT_S):
        while gateway.is_running and gateway.incarnation == incarnation:
            await trio.sleep(WAIT_POLL_S)


async def _take_port(gateway: GatewayProcess, rng: random.Random) -> str:
    """Take one of a gateway's ports for a while as it starts again."""
    await _end(gateway, rng)
    kind = rng.choice(PORT_KINDS)
    length_s = rng.uniform(*TAKEN_RANGE_S)
    description = f"{kind} taken for {length_s:.1f} s"
    try:
        taken = _open_socket(gateway, kind)
    except OSError as error:
        return f"{kind} not taken: {error.strerror}"
    with taken:
        gateway.is_held = False
        await trio.sleep(length_s)
    return description


def _open_socket(gateway: GatewayProcess, kind: str) -> socket.socket:
    """Return a socket of another process at one of a gateway's ports."""
    ports = {"front": gateway.front_port, "ready": gateway.ready_port}
    is_datagrams = kind == "datagrams"
    socket_type = socket.SOCK_DGRAM if is_datagrams else socket.SOCK_STREAM
    taken = socket.socket(socket.AF_INET, socket_type)
    try:
        taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, not is_datagrams)
        taken.bind((gateway.host, ports.get(kind, gateway.peer_port)))
        if not is_datagrams:
            taken.listen()
    except OSError:
        taken.close()
        raise
    return taken


async def _signal_start(gateway: GatewayProcess, rng: random.Random) -> str:
    """Send signals to a gateway soon after its start."""
    await _end(gateway, rng)
    sent: list[str] = []
    for _ in range(rng.choice(SIGNAL_COUNTS)):
        incarnation = gateway.incarnation
        gateway.is_held = False
        with trio.move_on_after(END_TIMEOUT_S):
            while gateway.incarnation == incarnation:
                await trio.sleep(WAIT_POLL_S)
        after_s = rng.uniform(*AFTER_START_RANGE_S)
        await trio.sleep(after_s)
        signal_number = rng.choice(START_SIGNALS)
        gateway.send_signal(signal_number)
        sent.append(f"{signal_number.name} after {after_s:.2f} s")
        if signal_number is signal.SIGHUP:
            break
    return ", ".join(sent)


async def _spoil_settings(gateway: GatewayProcess, rng: random.Random) -> str:
    """Rewrite the settings beside a hang-up: with an unknown key, or half of them."""
    text = gateway.settings_path.read_text(encoding="utf-8")
    has_unknown_key = rng.random() < 0.5
    spoiled = text + UNKNOWN_KEY if has_unknown_key else text[: len(text) // 2]
    gateway.settings_restored_s = float("inf")
    gateway.settings_path.write_text(spoiled, encoding="utf-8")
    gateway.send_signal(signal.SIGHUP)
    await trio.sleep(rng.uniform(*SPOILED_RANGE_S))
    gateway.settings_path.write_text(text, encoding="utf-8")
    gateway.send_signal(signal.SIGHUP)
    gateway.settings_restored_s = trio.current_time()
    return "an unknown key" if has_unknown_key else "half the settings"
