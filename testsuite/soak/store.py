"""Stand-in for the platform's store: keyed topics of one partition, producer epochs, groups."""

import base64
import json
import random
import struct
import threading
import time
from urllib.parse import parse_qs, urlsplit

from http_service import HttpService, NoAnswer

KEPT_RECORDS = 200  # of the history; older ones are only in the newest records of their keys


class Topic:
    def __init__(self):
        self.records = []
        self.first = 0
        self.newest = {}
        self.epoch = -1
        self.next_number = None
        self.recent = {}

    @property
    def end(self):
        return self.first + len(self.records)

    def append(self, body):
        offset = self.end
        while body:
            length = struct.unpack(">I", body[:4])[0]
            record, body = body[4:4 + length], body[4 + length:]
            key = record[1:1 + record[0]].decode()
            value = record[1 + record[0]:]
            if value:
                self.newest[key] = (value, self.end)
            else:
                self.newest.pop(key, None)
            self.records.append(record)
        self.forget_history(KEPT_RECORDS)
        return {"offset": offset, "end": self.end}

    def forget_history(self, kept):
        drop = max(0, len(self.records) - kept)
        self.records = self.records[drop:]
        self.first += drop


class Group:
    def __init__(self):
        self.generation = 1
        self.members = {}  # name: (time of the last join, ttl in seconds)
        self.owner = None

    def expire(self, now):
        for name, (joined, ttl) in list(self.members.items()):
            if now - joined > ttl:
                self.remove(name)

    def remove(self, name):
        if self.members.pop(name, None) and self.owner == name:
            self.owner = None
            self.generation += 1

    def deal(self, generator):
        """Gives the partition to another member, if there is one."""
        others = [name for name in self.members if name != self.owner] or list(self.members)
        self.owner = generator.choice(others) if others else None
        self.generation += 1


class Store:
    """Faults are set as attributes by the test; none of them loses what was acknowledged."""

    def __init__(self, address, seed):
        self._lock = threading.Condition()
        self._topics = {}
        self._groups = {}
        self._random = random.Random(seed)
        self.outage = None  # None, "silent" or "busy"
        self.slow_s = 0.0
        self.lost_answers = 0.0  # share of the writes that are done and not answered
        self.service = HttpService(address, self._handle)

    def topic(self, name):
        return self._topics.setdefault(name, Topic())

    def publish(self, key, value):
        """What the operator writes; faults do not hit it."""
        with self._lock:
            self.topic("keyed.op").append(
                struct.pack(">IB", 1 + len(key) + len(value), len(key)) + key.encode() + value)
            self._lock.notify_all()

    def forget_history(self):
        with self._lock:
            for topic in self._topics.values():
                topic.forget_history(0)

    def rebalance(self):
        with self._lock:
            for group in self._groups.values():
                group.deal(self._random)

    def heal(self):
        self.outage, self.slow_s, self.lost_answers = None, 0.0, 0.0

    def _handle(self, method, target, headers, body):
        if self.outage == "busy":
            return 503, {}
        if self.outage == "silent":
            while self.outage == "silent":
                time.sleep(0.05)
            raise NoAnswer
        if self.slow_s:
            time.sleep(self.slow_s)
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        call = {"/-/log-append": self._append, "/-/log-read": self._read,
                "/-/log-newest": self._newest, "/-/log-join": self._join,
                "/-/log-leave": self._leave}.get(parts.path)
        if not call:
            return 404, {}
        answer = call(query, body)
        if method == "POST" and self._random.random() < self.lost_answers:
            raise NoAnswer
        return answer

    def _append(self, query, body):
        with self._lock:
            topic = self.topic(query["topic"])
            if "at" in query and int(query["at"]) != topic.end:
                return 412, {"end": topic.end}
            if "producer" not in query:
                answer = topic.append(body)
                self._lock.notify_all()
                return 200, answer
            epoch, number = int(query["epoch"]), int(query["seq_no"])
            if epoch < topic.epoch:
                return 409, {"reason": "fenced"}
            if epoch > topic.epoch:
                topic.epoch, topic.next_number, topic.recent = epoch, number, {}
            if number in topic.recent:
                return 200, topic.recent[number]
            if number != topic.next_number:
                return 409, {"reason": "seq", "seq_no": topic.next_number}
            answer = topic.append(body)
            topic.next_number = number + 1
            topic.recent[number] = answer
            topic.recent.pop(number - 5, None)
            self._lock.notify_all()
            return 200, answer

    def _read(self, query, _body):
        start = int(query["from"])
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self._lock:
            topic = self.topic(query["topic"])
            while start >= topic.end and time.monotonic() < deadline:
                self._lock.wait(deadline - time.monotonic())
            if start < topic.first:
                return 410, {"first": topic.first}
            records = topic.records[start - topic.first:]
            return 200, struct.pack(">QQ", topic.end, topic.first) + b"".join(
                struct.pack(">I", len(record)) + record for record in records)

    def _newest(self, query, _body):
        with self._lock:
            topic = self.topic(query["topic"])
            keys = sorted(key for key in topic.newest if key > query.get("depends_on", ""))
            items = [{"key": key, "value": base64.b64encode(topic.newest[key][0]).decode(),
                      "offset": topic.newest[key][1]} for key in keys[:500]]
            return 200, {"items": items, "has_more": len(keys) > 500, "end": topic.end}

    def _join(self, _query, body):
        request = json.loads(body)
        now = time.monotonic()
        with self._lock:
            group = self._groups.setdefault(request["group"], Group())
            group.expire(now)
            if request["member"] not in group.members:
                group.generation += 1
            group.members[request["member"]] = (now, request["ttl_ms"] / 1000)
            if group.owner is None:
                group.deal(self._random)
            owned = group.owner == request["member"]
            rows = [[topic, 0, 0] for topic in request["topics"]] if owned else []
            return 200, {"generation": group.generation, "parts": rows}

    def _leave(self, _query, body):
        request = json.loads(body)
        with self._lock:
            group = self._groups.setdefault(request["group"], Group())
            group.remove(request["member"])
            return 200, {}
