import os
import signal
import sys
import time

sys.dont_write_bytecode = True

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand"))
import fleet as stand

TOPICS = [f"cdr.{number}" for number in range(24)]


def session_node(fleet, node):
    """The control node that a storage node has its session with."""
    addresses = {(fleet.ips[control], fleet.port): control for control in fleet.controls}
    found = fleet.processes["storage", node].connected_to(set(addresses))
    return addresses[found[0]] if len(found) == 1 else None


def leader(fleet):
    newest = None
    for node in fleet.controls:
        for line in fleet.processes["control", node].log_text().splitlines():
            if "became leader of the replicated log, term" in line:
                newest = max(newest or (0, ""), (int(line.rsplit(" ", 1)[1]), node))
    return newest[1] if newest else None


def choose_roles(fleet, record):
    """Returns (joiner, its control node, node whose disk is lost, node that retires), or None.

    With three storage nodes and two copies, two nodes lead partitions and the third one holds all backups. When the
    third one retires, each leading node takes in the other one as its new backup: that one is the joiner. Its control
    node must be a follower, and not that of the node whose disk is lost."""
    leading = leader(fleet)
    lives = {node: "went live" in fleet.processes["storage", node].log_text() for node in fleet.storages}
    sessions = {node: session_node(fleet, node) for node in fleet.storages}
    record(f"control leader {leading}, sessions {sessions}, leads partitions {lives}")
    leaders = [node for node in fleet.storages if lives[node]]
    backups = [node for node in fleet.storages if not lives[node]]
    if len(leaders) != 2 or len(backups) != 1:
        return None
    for joiner, lost in (leaders, leaders[::-1]):
        mine = sessions[joiner]
        if mine and mine != leading and sessions[lost] and sessions[lost] != mine:
            return joiner, mine, lost, backups[0]
    return None


def start_fleet(record, make_fleet):
    """Starts fleets until the random layout of sessions is one that the case needs."""
    for _ in range(9):
        fleet = make_fleet()
        fleet.start()
        if not fleet.configure(1, [stand.route("cdr", "cdr.")]) or not fleet.until_ready():
            raise RuntimeError("the fleet did not become ready")
        time.sleep(3.0)
        roles = choose_roles(fleet, record)
        if roles:
            return fleet, roles
        fleet.end()
    raise RuntimeError("the sessions of the storage nodes never lay as the case needs them")


def disrupt(fleet, control, lost, retiring):
    """A storage machine is to be emptied, as planned. At that moment (0 s) a core machine freezes, and at 0.38 s the other
    core machines do. At 0.38 s the storage machine that leads is lost with its disk; it is back, empty, at 2.5 s. The core
    machines wake at 3.75 s. The two other storage machines, the retiring one and the joiner, are left alone."""
    victim = fleet.processes["storage", lost]
    begin = time.monotonic()

    def until(moment):
        time.sleep(max(0.0, begin + moment - time.monotonic()))

    fleet.processes["control", control].signal(signal.SIGSTOP)
    status, _ = fleet.order("POST", f"retire/{retiring}", {"durations": 10}, first=leader(fleet))
    if status != 200:
        raise RuntimeError(f"the order to retire {retiring} was answered {status}")
    until(0.38)
    for node in fleet.controls:
        if node != control:
            fleet.processes["control", node].signal(signal.SIGSTOP)
    victim.kill()
    fleet.wipe(lost)
    until(2.5)
    victim.start()
    until(3.75)
    for node in fleet.controls:
        fleet.processes["control", node].signal(signal.SIGCONT)


def take_up(fleet, record, cursors, accepted, end):
    """Takes up all saved places until `end`; returns topics told expired, numbers not received, topics not answered."""
    expired, taken, got = set(), set(), {topic: set() for topic in TOPICS}
    while time.monotonic() < end:
        try:
            client = stand.Client(record, fleet.client_address("access-1"), "reader")
            if not client.attach():
                raise stand.Closed("attach")
            for topic in TOPICS:
                if topic in expired:
                    continue
                answer = client.subscribe(topic, cursors[topic])
                if answer and answer[0] == "success":
                    taken.add(topic)
                elif answer and answer[-1] == "expired":
                    expired.add(topic)
            time.sleep(2.0)  # a delivery takes milliseconds
            with client.changed:
                for fields, body in client.lines:
                    if fields[0] == "deliver" and (int(fields[4]), body) in accepted.get(fields[1], []):
                        got[fields[1]].add(int(fields[4]))
            client.close()
        except (stand.Closed, OSError) as error:
            record(f"reader: {error!r}")
        missing = {topic: [number for number, _ in accepted.get(topic, []) if number not in got[topic]]
                   for topic in TOPICS if topic not in expired}
        missing = {topic: numbers for topic, numbers in missing.items() if numbers}
        if not missing and taken | expired == set(TOPICS):
            break
        time.sleep(0.5)
    return expired, missing, set(TOPICS) - taken - expired


def main(record, make_fleet):
    fleet, roles = start_fleet(record, make_fleet)
    joiner, control, lost, retiring = roles
    record(f"joiner {joiner} with {control}; lost with its disk: {lost}; retires: {retiring}")
    reader = stand.Client(record, fleet.client_address("access-1"), "reader")
    writer = stand.Client(record, fleet.client_address("access-1"), "writer")
    if not reader.attach() or not writer.attach():
        raise RuntimeError("no client could attach")
    cursors, accepted, number = {}, {}, 0
    for topic in TOPICS:
        answer = reader.subscribe(topic)
        if not answer or answer[0] != "success":
            raise RuntimeError(f"subscribe: {answer}")
        cursors[topic] = answer[3]
    reader.close()  # goes away and returns with its cursors
    first_sent = time.monotonic()
    for _ in range(3):
        for topic in TOPICS:
            number += 1
            body = f"message-{number:06d}-of-{topic}".ljust(40, ".")
            if writer.publish(topic, number, body) == "accepted":
                accepted.setdefault(topic, []).append((number, body))
    writer.close()
    if stand.trouble():
        disrupt(fleet, control, lost, retiring)
    # recoverys (12 s) after all are back, plus two; all messages are younger than retentions (35 s) until then.
    expired, missing, unanswered = take_up(fleet, record, cursors, accepted, time.monotonic() + 14)
    record(f"accepted {number}: {sorted(accepted)}")
    record(f"age of the oldest message at the end: {time.monotonic() - first_sent:.1f} s")
    record(f"told expired: {sorted(expired)}")
    record(f"accepted and not received: {missing}")
    record(f"not answered at the end: {sorted(unanswered)}")
    for node in fleet.storages:
        for line in fleet.processes["storage", node].log_text().splitlines():
            if any(word in line for word in ("obsolete", "went live", "joined the in-sync", "disk is lost")):
                record(f"log of {node}: {line}")
    return not expired and not missing and not unanswered


stand.run(main, HERE)
