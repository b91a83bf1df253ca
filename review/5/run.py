import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-2"))
from fleet import BROKEN, HELD, CannotRun, Client, Fleet, TROUBLE, configuration, holders, route, run  # noqa: E402

TOPICS = ["alert.%d" % i for i in range(24)]
REDELIVERY_S = 10


def play(record):
    fleet = Fleet(record, core=5, storage=5, losses=2, zones=["a", "b", "c", "d"],
                  guarantees={"ContactMs": 5000, "AckLimitMs": 6000, "SyncS": 6, "ApplyMs": 4000, "RecoveryS": 15,
                              "DrainMs": 4000})
    try:
        return play_on(fleet, record)
    finally:
        fleet.stop(keep=os.environ.get("KEEP") == "1")


def play_on(fleet, record):
    fleet.start()
    routes = [route("reading", "reading.", "retained"), route("alert", "alert.", "transient", timeout=1200)]
    if not fleet.order("PUT", "/configuration", configuration(1, routes), limit=30):
        raise CannotRun("the configuration is not taken")
    fleet.wait_ready()
    time.sleep(8)  # each partition has its replicas; the machines are in touch
    subscriber, sender = Client(fleet, "subscriber"), Client(fleet, "sender")
    for topic in TOPICS:
        answer = subscriber.subscribe(topic)
        if not answer or answer[0] != "SUCCESS":
            raise CannotRun("SUBSCRIBE %s: %s" % (topic, answer))
    pairs = holders(fleet, r"live/\d+")
    record("replicas of the transient partitions, from the logs: %s" % {k: sorted(v) for k, v in pairs.items()})
    pair = next((names for names in pairs.values() if len(names) == 2), None)
    if not pair:
        raise CannotRun("no transient partition with two replicas: %s" % pairs)

    body = "x" * 180
    accepted_at = {}
    for number, topic in enumerate(TOPICS, 1):
        answer = sender.publish(topic, number, body)
        if answer and answer[0] == "ACCEPTED":
            accepted_at[topic] = time.monotonic()
    if len(accepted_at) < len(TOPICS):
        raise CannotRun("only %d of %d messages were accepted before the trouble" % (len(accepted_at), len(TOPICS)))
    time.sleep(0.3)
    first = len(subscriber.deliveries)
    record("%d messages accepted, %d delivered" % (len(accepted_at), first))

    if TROUBLE:
        lost = [m for m in fleet.of("storage") if m.name in pair]
        record("two machines lose their disks: %s" % ", ".join(m.name for m in lost))
        for machine in lost:
            machine.kill()
        for machine in lost:
            machine.wipe()
        time.sleep(1)
        for machine in lost:
            machine.start()
        record("both are started again with empty disks")

    # The accepted numbers arrive again, at most RedeliveryS after they were accepted.
    waiting = dict(accepted_at)
    while waiting:
        for number, topic in enumerate(TOPICS, 1):
            if topic not in waiting:
                continue
            if time.monotonic() - waiting[topic] > REDELIVERY_S - 1:
                del waiting[topic]
                continue
            answer = sender.publish(topic, number, body, limit=2)
            if answer and answer[0] == "ACCEPTED":
                del waiting[topic]
        time.sleep(0.2)
    time.sleep(1)
    if subscriber.closed:
        raise CannotRun("the subscriber's connection was closed")

    seen, twice = set(), []
    for at, topic, cursor, name, number, _ in subscriber.deliveries:
        if (topic, name, number) in seen:
            twice.append((topic, name, number))
            record("ORDER: %s %s %d arrives a second time within one subscription, at %.3f s, cursor %s" %
                   (topic, name, number, at, cursor))
        seen.add((topic, name, number))
    record("%d of %d messages arrived twice" % (len(twice), len(TOPICS)))
    print("%d of %d messages arrived twice" % (len(twice), len(TOPICS)))
    return BROKEN if twice else HELD


run(HERE, play)
