import os
import random
import re
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-2"))
from fleet import BROKEN, HELD, CannotRun, Client, Fleet, TROUBLE, configuration, route, run  # noqa: E402

TOPIC = "reading.basin"
RATE = 240  # messages a second; the site has 280 of this class
IN_FLIGHT = 8
DEADLINE_S = 2.5  # of a message of the class station-reading
RETRY_S = (0.05, 2.0)  # pause before a message is sent again after unknown
ROUNDS = 5
FREEZE_S, BETWEEN_S = 3.0, 8.0  # the next freeze begins more than syncs (4.2 s) after the end of the last one


class Message:
    def __init__(self, text):
        self.text = text
        self.wanted = time.monotonic()
        self.number = None
        self.history = []  # numbers and answers


class Sender(threading.Thread):
    """A client that has up to eight messages of one topic under way; one that waits to be sent again counts as under way.

    Numbers come from its clock, so they go up with every new message.
    """

    def __init__(self, fleet, record):
        super().__init__(daemon=True)
        self.fleet, self.record = fleet, record
        self.random = random.Random()
        self.last_number = 0
        self.ending = False
        self.messages = []
        self.under_way = {}  # number -> message
        self.waiting = []  # (time, message): to be sent again
        self.client = None

    def next_number(self):
        self.last_number = max(self.last_number + 1, int(time.time() * 1000000))
        return self.last_number

    def send(self, message):
        if message.number is None:
            message.number = self.next_number()
        self.under_way[message.number] = message
        self.client.send("publish %s %d" % (TOPIC, message.number), message.text)

    def again(self, message, after):
        if time.monotonic() + after < message.wanted + DEADLINE_S:
            self.waiting.append((time.monotonic() + after, message))

    def on_answer(self, words):
        number = int(words[2] if words[0] == "accepted" else words[3])
        message = self.under_way.pop(number, None)
        if message is None:
            return
        answer = "accepted" if words[0] == "accepted" else words[4]
        message.history.append((number, answer))
        if answer == "congested":  # never done: the message gets a new number
            message.number = None
            self.again(message, 0)
        elif answer != "accepted":
            self.again(message, self.random.uniform(*RETRY_S))

    def run(self):
        seen, next_new = 0, time.monotonic()
        while not (self.ending and not self.under_way and not self.waiting):
            if self.client is None or self.client.closed:
                try:
                    self.client, seen = Client(self.fleet, "sender", quiet=True), 0
                except ConnectionError:
                    time.sleep(0.2)
                    continue
                for message in sorted(self.under_way.values(), key=lambda m: m.number):
                    self.send(message)
            now = time.monotonic()
            due = [entry for entry in self.waiting if entry[0] <= now]
            for entry in due:
                self.waiting.remove(entry)
                self.send(entry[1])
            if not self.ending and now >= next_new and len(self.under_way) + len(self.waiting) < IN_FLIGHT:
                next_new = max(next_new + 1.0 / RATE, now - 0.1)
                message = Message(("reading %06d " % len(self.messages)).ljust(420, "x"))
                self.messages.append(message)
                self.send(message)
            with self.client.condition:
                if len(self.client.answers) == seen and not self.client.closed:
                    self.client.condition.wait(0.002)
                answers, seen = self.client.answers[seen:], len(self.client.answers)
            for words in answers:
                if words[0] == "accepted" or words[:2] == ["rejected", "publish"]:
                    self.on_answer(words)


def backup_of_topic(fleet):
    """The machine that backs the partition of the topic, as the log of its primary tells."""
    joins, primary = ("", None), ("", None)
    for machine in fleet.of("storage"):
        for line in machine.log().splitlines():
            joined = re.search(PARTITION + r": (\S+?)/\S+ (joined the in-sync set|joins with its own log)", line)
            if joined and line > joins[0]:
                joins = (line, joined.group(1))
            if PARTITION + ": went live" in line and line > primary[0]:
                primary = (line, machine.name)
    if joins[1] in (None, primary[1]):
        raise CannotRun("the logs do not tell the backup of %s" % PARTITION)
    return next(m for m in fleet.of("storage") if m.name == joins[1])


def partition_of(topic):
    mask = (1 << 64) - 1
    value = 1469598103934665603
    for byte in topic.encode():
        value = ((value ^ byte) * 1099511628211) & mask
    value ^= value >> 32
    return "kept/%d" % ((((value * 0x9E3779B97F4A7C15) & mask) >> 16) % 8)


PARTITION = partition_of(TOPIC)


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
    time.sleep(5)
    subscriber = Client(fleet, "subscriber", quiet=True)
    answer = subscriber.subscribe(TOPIC)
    if not answer or answer[0] != "success":
        raise CannotRun("subscribe: %s" % answer)
    sender = Sender(fleet, record)
    sender.start()
    time.sleep(3)
    for _ in range(ROUNDS):
        machine = backup_of_topic(fleet)
        if TROUBLE:
            record("freeze: %s, which backs the partition of %s" % (machine.name, TOPIC))
            machine.signal(signal.SIGSTOP)
        time.sleep(FREEZE_S)
        if TROUBLE:
            machine.signal(signal.SIGCONT)
            record("wakes again: %s" % machine.name)
        time.sleep(BETWEEN_S - FREEZE_S)
    sender.ending = True
    sender.join(10)
    time.sleep(1)
    if subscriber.closed:
        raise CannotRun("the subscriber's connection was closed")

    arrivals = {}
    for at, topic, cursor, name, number, body in subscriber.deliveries:
        arrivals.setdefault(body.strip("x ").strip(), []).append((at, number, cursor))
    counts = {}
    for message in sender.messages:
        for _, word in message.history:
            counts[word] = counts.get(word, 0) + 1
    record("each message: its text, then (number, answer) of each try, and (time, number, cursor) of each delivery; those with "
           "one try, accepted, and one delivery are left out")
    record("%d messages sent, answers: %s; %d deliveries" % (len(sender.messages), counts, len(subscriber.deliveries)))
    twice = 0
    for message in sender.messages:
        found = arrivals.get(message.text.strip("x ").strip(), [])
        if len(message.history) > 1 or len(found) != 1:
            record("'%s': answers %s, delivered %s" % (message.text[:14], message.history, found))
        false_promise = [n for n, word in message.history if word == "congested" and any(n == a[1] for a in found)]
        if false_promise:
            record("'%s': number %d was answered congested, and was delivered" % (message.text[:14], false_promise[0]))
        if len(found) > 1:
            twice += 1
            record("ORDER: '%s' arrives %d times within one subscription" % (message.text[:14], len(found)))
    print("%d of %d messages arrived twice; answers: %s" % (twice, len(sender.messages), counts))
    return BROKEN if twice else HELD


run(HERE, play)
