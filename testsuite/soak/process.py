"""One of the real programs, as a process of its own."""

import os
import signal
import subprocess
import time

GRACE_S = 6.0


class Process:
    """Signals go to the process id of the program that was started here, and to no other."""

    def __init__(self, program, settings, directory):
        self.name = settings["node"]
        self._program = program
        self.log_path = os.path.join(directory, self.name + ".log")
        self._settings_path = os.path.join(directory, self.name + ".conf")
        with open(self._settings_path, "w", encoding="utf-8") as file:
            file.writelines(f"{key}={value}\n" for key, value in settings.items())
        self._process = None
        self._log_start = 0
        self.busy = False  # a fault works on it
        self.start()

    def start(self):
        environment = dict(os.environ, PLANTAINPITCH_SETTINGS=self._settings_path)
        with open(self.log_path, "ab") as log:
            self._log_start = log.tell()
            self._process = subprocess.Popen([self._program], stdout=log, stderr=log,
                                             stdin=subprocess.DEVNULL, env=environment)

    def has_started(self):
        """Whether the program has said so in its log."""
        with open(self.log_path, "rb") as log:
            log.seek(self._log_start)
            return b"event=started" in log.read()

    def ended_by_itself(self):
        """Exit code, or None while it runs."""
        return self._process.poll()

    def pid(self):
        """Process id, or None while it does not run."""
        return self._process.pid if self._process.poll() is None else None

    def kill(self):
        self._process.kill()
        self._process.wait()

    def terminate(self):
        """SIGTERM; the exit code, or None if it had to be killed after the grace time. A program
        that has not started yet may end by the signal: it has taken nothing on."""
        started = self.has_started()
        self._process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + GRACE_S
        while time.monotonic() < deadline:
            code = self._process.poll()
            if code is not None:
                return 0 if code == -signal.SIGTERM and not started else code
            time.sleep(0.02)
        self.kill()
        return None

    def freeze(self, seconds):
        self._process.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        self._process.send_signal(signal.SIGCONT)

    def reload(self):
        self._process.send_signal(signal.SIGHUP)
