"""A store, gateways, nodes with their workers, and proxies on all links to the outside."""

import json
import os
import socket
import threading

import jobs
from client import HOST
from process import Process
from promises import parse
from proxy import Proxy, ProxyLoop
from store import Store
from worker import HEARTBEAT_S, Worker

STORE_PORT, WORKER_PORT, CLIENT_PORT, READY_PORT, CONTROL_PORT = 8100, 8200, 8300, 8400, 8500
PEER_PORTS = "8600,8610"
QUEUE = "/jobs/"


def reserve_network():
    """Number of a loopback network that no other run uses, and the socket that reserves it."""
    for network in range(16, 250):
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{network}.0.250", STORE_PORT))
            return network, reservation
        except OSError:
            reservation.close()  # another run has it
    raise RuntimeError("all loopback networks are in use: play fewer runs at once")


class Deployment:
    """Each machine has an address of its own in a loopback network, so that runs can be played at
    the same time."""

    def __init__(self, build, directory, promises, all_jobs, seed, gateways=2, nodes=4):
        self._network, self._reservation = reserve_network()
        self._jobs = all_jobs
        self._lock = threading.Lock()
        self._version = 0
        self._proxies = ProxyLoop()
        self.store = Store((self._ip(0, 1), STORE_PORT), seed)
        self.publish_config()
        self.processes, self.workers = [], []
        self.store_links, self.client_links, self.worker_links = {}, [], []
        self.gateway_addresses = []
        for number in range(gateways):
            name = f"gateway-{number}"
            ip = self._ip(1, number)
            settings = self._settings(name, ip, number, 1)
            settings["listen.front"] = f"{ip}:{CLIENT_PORT}"
            settings["listen.readiness"] = f"{ip}:{READY_PORT}"
            self.processes.append(
                Process(os.path.join(build, "plantain-gateway"), settings, directory))
            entrance = (self._ip(6, number), CLIENT_PORT)
            self.client_links.append(Proxy(self._proxies, entrance, (ip, CLIENT_PORT)))
            self.gateway_addresses.append(entrance)
        for number in range(nodes):
            name = f"node-{number}"
            ip = self._ip(2, number)
            worker_address = (self._ip(3, number), WORKER_PORT)
            link = (self._ip(5, number), WORKER_PORT)
            self.worker_links.append(Proxy(self._proxies, link, worker_address))
            self.workers.append(
                Worker(f"worker-{number}", f"r{number // 2}", worker_address, (ip, CONTROL_PORT),
                       promises, self._plan, seed + number))
            settings = self._settings(name, ip, number, 2)
            settings["listen.control"] = f"{ip}:{CONTROL_PORT}"
            settings["app"] = f"{link[0]}:{link[1]}"
            self.processes.append(
                Process(os.path.join(build, "plantain-node"), settings, directory))
            self.workers[-1].node = self.processes[-1]

    def _ip(self, kind, number):
        return f"127.{self._network}.{kind}.{number + 1}"

    def _plan(self, task):
        job, _, step, _ = parse(task)
        return self._jobs[job].plan(task, step)

    def _settings(self, name, ip, number, kind):
        link = (self._ip(10 + kind, number), STORE_PORT)
        self.store_links[name] = Proxy(self._proxies, link, (self._ip(0, 1), STORE_PORT))
        return {"node": name, "ip": ip, "zone": f"z{number % 2}", "region": "r",
                "port_range": PEER_PORTS, "platform.address": f"{link[0]}:{link[1]}",
                "heartbeat_ms": int(HEARTBEAT_S * 1000), "bounds.hold_max_ms": 6000.0,
                "bounds.grace_s": 6.0}

    def publish_config(self):
        """Publishes a new version with one more queue."""
        with self._lock:
            self._version += 1
            queue = {"service": "soak", "host": HOST, "priority": 0,
                     "max_attempts": jobs.MAX_ATTEMPTS, "stretch": 2.0, "target_latency_ms": 1000}
            routes = [dict(queue, name="work", path_prefix=QUEUE)]
            routes += [dict(queue, name=f"queue-{number}", path_prefix=self.queue_path(number))
                       for number in range(2, self._version + 1)]
            document = {"version": self._version, "routes": routes,
                        "services": [{"name": "soak", "admission_check": False}], "limits": {}}
            self.store.publish("config", json.dumps(document).encode())
            return self._version

    @staticmethod
    def queue_path(version):
        """Path of the queue that came with that version, which is at least 2."""
        return f"/queue-{version}/"

    def _links(self):
        return list(self.store_links.values()) + self.client_links + self.worker_links

    def heal(self):
        """Ends what is left of the faults."""
        self.store.heal()
        for link in self._links():
            link.heal()

    def close(self):
        for process in self.processes:
            process.kill()
        for worker in self.workers:
            worker.close()
        self.store.service.close()
        for link in self._links():
            link.close()
        self._proxies.stop()
        self._reservation.close()
