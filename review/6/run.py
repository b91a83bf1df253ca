import datetime
import os
import re
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-2"))
from fleet import BROKEN, HELD, CannotRun, Client, Fleet, TROUBLE, configuration, route, run  # noqa: E402

TOPICS = ["reading.%d" % i for i in range(24)]
SYNC_S, RECOVERY_S, WIPED_S = 4.2, 12, 2.0
ROUNDS, BODY = 400, 420  # 9,600 messages of 420 bytes: what the site keeps in `retentions` (280 a second, 35 s)


def with_one_replica(fleet, since):
    """The machine that has taken over most partitions since then to which no second replica has come yet, as the logs tell."""
    alone = {}
    for machine in fleet.of("storage"):
        for line in machine.log().splitlines():
            found = re.match(r"(\S+) \S+ \S+: (kept/\d+): (went live|.* joined the in-sync set)", line)
            if found and found.group(1) >= since:
                entry = (found.group(1), machine if found.group(3) == "went live" else None)
                alone[found.group(2)] = max(alone.get(found.group(2), entry), entry, key=lambda e: e[0])
    machines = [entry[1] for entry in alone.values() if entry[1]]
    return max(machines, key=machines.count) if machines else fleet.of("storage")[1]


def play(record):
    fleet = Fleet(record, core=3, storage=3, losses=1, zones=["a", "b", "c"])
    try:
        return play_on(fleet, record)
    finally:
        fleet.stop(keep=os.environ.get("KEEP") == "1")


def play_on(fleet, record):
    fleet.start()
    routes = [route("reading", "reading.", "retained"), route("alert", "alert.", "transient", timeout=1200)]
    if not fleet.order("PUT", "configuration", configuration(1, routes), limit=30):
        raise CannotRun("the configuration is not taken")
    fleet.wait_ready()
    time.sleep(3)
    old = fleet.of("storage")
    ip = old[0].ip.rsplit(".", 1)[0]
    successor = fleet.add("storage", "storage-a-9", "a", ip + ".49")
    successor.start(bootstrap=False)
    record("planned: %s is started at a new address, with an empty disk" % successor.name)
    time.sleep(SYNC_S + 0.8)

    subscriber, sender = Client(fleet, "subscriber", quiet=True), Client(fleet, "sender", quiet=True)
    cursors = {}
    for topic in TOPICS:
        answer = subscriber.subscribe(topic)
        if not answer or answer[0] != "success":
            raise CannotRun("subscribe %s: %s" % (topic, answer))
        cursors[topic] = answer[3]
    subscriber.close()  # goes away by its own will and comes back with its cursors
    accepted, number = {}, 0
    for _ in range(ROUNDS):  # one message at a time for each topic
        since = len(sender.answers)
        for topic in TOPICS:
            number += 1
            sender.send("publish %s %d" % (topic, number), ("message %d " % number).ljust(BODY, "x"))
        sender.wait_for(since + len(TOPICS), 3)
        for answer in sender.answers[since:]:
            if answer[0] == "accepted":
                accepted.setdefault(answer[1], set()).add(int(answer[2]))
    total = sum(len(numbers) for numbers in accepted.values())
    if total < ROUNDS * len(TOPICS) * 0.9:
        raise CannotRun("only %d messages were accepted" % total)

    removed = old[0]
    if TROUBLE:
        record("planned: %s gets SIGTERM and is gone for good" % removed.name)
        since = datetime.datetime.now(datetime.timezone.utc).strftime("%Y-%m-%dT%H:%M:%S.%f")[:-3] + "Z"
        removed.signal(signal.SIGTERM)
        while removed.processes["storage"].poll() is None:
            time.sleep(0.002)
        record("%s has ended" % removed.name)
        removed.wipe()
        wiped = with_one_replica(fleet, since)
        wiped.kill()
        wiped.wipe()
        record("%s loses its disk" % wiped.name)
        time.sleep(WIPED_S)
        wiped.start()
        record("%s is back, with an empty disk" % wiped.name)
    time.sleep(RECOVERY_S)

    got, end, refused = {}, time.monotonic() + 12, set()
    while time.monotonic() < end and any(accepted[t] - got.get(t, set()) for t in accepted):
        try:
            subscriber = Client(fleet, "subscriber")
        except ConnectionError:
            time.sleep(0.5)
            continue
        for topic in TOPICS:
            subscriber.send("subscribe %s %s" % (topic, cursors[topic]))
        time.sleep(3)
        for answer in subscriber.answers:
            if answer[:2] == ["rejected", "subscribe"] and answer[4] == "expired":
                refused.add(answer[2])
        for _, topic, cursor, _, delivered, _ in subscriber.deliveries:
            got.setdefault(topic, set()).add(delivered)
            cursors[topic] = cursor
        subscriber.close()
    missing = {t: sorted(accepted[t] - got.get(t, set())) for t in accepted if accepted[t] - got.get(t, set())}
    lost = sum(len(numbers) for numbers in missing.values())
    for topic, numbers in missing.items():
        record("LOST: %s: accepted and not delivered: %s" % (topic, " ".join(map(str, numbers))))
    print("%d of %d accepted messages are lost" % (lost, total))
    record("%d of %d accepted messages are lost" % (lost, total))
    return BROKEN if lost or refused else HELD


run(HERE, play)
