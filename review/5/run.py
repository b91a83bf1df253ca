import os
import re
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-2"))
from fleet import BROKEN, HELD, CannotRun, Client, Fleet, TROUBLE, configuration, route, run  # noqa: E402

SYNC_S, RECOVERY_S, WIPED_S = 4.2, 12, 0.7


def leader_of(fleet):
    best = ("", None)
    for machine in fleet.of("core"):
        for line in machine.log().splitlines():
            if "became leader of the replicated log" in line and line > best[0]:
                best = (line, machine)
    return best[1]


def became_voter(fleet, machine):
    pattern = re.escape("%s:%d became a voter" % (machine.ip, fleet.port))
    return any(re.search(pattern, m.log()) for m in fleet.of("core"))


def play(record):
    fleet = Fleet(record, core=3, storage=3, losses=1, zones=["a", "b", "c"])
    try:
        return play_on(fleet, record)
    finally:
        fleet.stop(keep=os.environ.get("KEEP") == "1")


def served(client, record, number):
    """How many of ten publishes are accepted."""
    count = 0
    for i in range(10):
        answer = client.publish("reading.%d" % i, number + i, "message".ljust(60, "x"), limit=2)
        count += bool(answer and answer[0] == "accepted")
        time.sleep(0.1)
    return count


def play_on(fleet, record):
    fleet.start()
    routes = [route("reading", "reading.", "retained"), route("alert", "alert.", "transient", timeout=1200)]
    if not fleet.order("PUT", "configuration", configuration(1, routes), limit=30):
        raise CannotRun("the configuration is not taken")
    fleet.wait_ready()
    time.sleep(4)
    client = Client(fleet, "sender")
    before = served(client, record, 1)
    record("before: %d of 10 messages accepted" % before)
    if before < 5:
        raise CannotRun("the fleet does not serve")

    # Planned work: the successor comes first.
    successor = fleet.add("core", "core-a-9", "a", fleet.of("core")[0].ip.rsplit(".", 1)[0] + ".19")
    successor.start(bootstrap=False)
    started = time.monotonic()
    record("%s is started at a new address, with an empty disk" % successor.name)
    while not became_voter(fleet, successor):
        if time.monotonic() > started + 10:
            raise CannotRun("the successor has not become a voter")
        time.sleep(0.05)
    record("%s has become a voter" % successor.name)
    time.sleep(max(0, started + SYNC_S + 0.3 - time.monotonic()))

    leader = leader_of(fleet)
    others = [m for m in fleet.of("core") if m not in (leader, successor)]
    removed, wiped = others[0], others[1]
    remaining = [m for m in fleet.of("core") if m is not removed]
    if TROUBLE:
        removed.kill()
        record("%s is removed for good, without SIGTERM (the leader is %s)" % (removed.name, leader.name))
        time.sleep(0.25)
    status = fleet.operator("PUT", "configuration", configuration(2, routes), nodes=[leader] + remaining)
    record("operator: PUT configuration 2 -> %s" % (status and status[0],))
    if not status or status[0] != 200:
        raise CannotRun("the second configuration is not acknowledged")
    if TROUBLE:
        wiped.kill()
        wiped.wipe()
        record("%s loses its disk, right after the acknowledgement" % wiped.name)
        time.sleep(WIPED_S)
        wiped.start()
        record("%s is back, with an empty disk" % wiped.name)
    time.sleep(RECOVERY_S)

    # From recoverys after the return on: the operator reads back for longer than contactms, and a client publishes.
    found, end = None, time.monotonic() + 12
    while time.monotonic() < end and not found:
        answer = fleet.operator("GET", "configuration", nodes=remaining)
        if answer and answer[0] == 200:
            found = answer
        time.sleep(0.3)
    record("operator: GET configuration -> %s" % (found and found[0],))
    try:
        client = client if not client.closed else Client(fleet, "sender")
        after = served(client, record, 1000)
    except ConnectionError as error:
        record("the client gets no connection: %s" % error)
        after = 0
    record("after: %d of 10 messages accepted" % after)
    print("after: %d of 10 messages accepted, configuration read: %s" % (after, bool(found)))
    return BROKEN if after < 2.5 or not found else HELD


run(HERE, play)
