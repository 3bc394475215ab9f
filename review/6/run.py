"""LOST: nodes that were restarted don't know of a replica whose entry has expired, and promote one that lacks commits."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lab2"))
from lab import CannotRun, Client, configuration, main

SERVICE = "ledger1"
DATABASE = "entries"
SETTLED_S = 6.0  # all machines are in touch
DEAF_S = 6.5
GONE_AT_S = 0.3
KILL_AT_S = 4.0  # the entry of the second replica has expired, three heartbeats after its end
RESTART_S = 0.2
CRASH_AT_S = 5.6
DOWN_S = 7.0
END_S = 15.0
PAUSE_S = 0.05


def write(lab, node, acknowledged, stop):
    """Writes one statement at a time and notes when each was acknowledged; connects again after a close."""
    client, number = None, 0
    while not stop.is_set():
        number += 1
        item = f"{node.name}-{number}"
        try:
            client = client or Client(lab.record, f"client at {node.name}", node.frontend, DATABASE, "key-1")
            if client.query(f"PUT {item} paid").ok:
                acknowledged[item] = time.monotonic()
        except OSError:
            client = None
        stop.wait(PAUSE_S)


def play(lab):
    group = lab.add_group(SERVICE)
    primary, first, second = group.databases
    lab.store.put("op/config", configuration(7, {DATABASE: "primary"}, {"troupes": ["key-1"]}, SERVICE))
    nodes = lab.start_nodes("edge-a-1", "edge-a-2")
    time.sleep(SETTLED_S)
    acknowledged, stop = {}, threading.Event()
    for node in nodes:
        threading.Thread(target=write, args=(lab, node, acknowledged, stop), daemon=True).start()
    time.sleep(1)
    start = time.monotonic()

    def wait_until(seconds):
        time.sleep(max(0.0, start + seconds - time.monotonic()))

    if lab.trouble:
        first.deaf = True
        lab.record.write(f"database {first.id}", f"receives nothing for {DEAF_S} s, at {first.position()}")
        threading.Timer(DEAF_S, setattr, (first, "deaf", False)).start()
        wait_until(GONE_AT_S)
        second.crash(None)
        wait_until(KILL_AT_S)
        for node in nodes:
            node.kill()
        time.sleep(RESTART_S)
        for node in nodes:
            node.start()
        for node in nodes:
            node.await_ready()
    wait_until(CRASH_AT_S)
    if lab.trouble and not first.deaf:
        raise CannotRun("the nodes started too late")
    primary.crash(DOWN_S)
    wait_until(END_S)
    stop.set()

    if not group.promoted:
        raise CannotRun("no database was promoted")
    broken = []
    for name, lost in group.lost_items(dict(acknowledged)).items():
        lab.record.write("check", f"{name} was promoted; {len(lost)} acknowledged writes are not in its log: {lost}")
        if lost:
            broken.append(f"{len(lost)} writes that clients were told of are not in the log of {name}, which was promoted")
    return broken


main(__file__, play)
