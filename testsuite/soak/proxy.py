"""A TCP proxy on loopback whose connections can be delayed, reset, silenced and cut one way."""

import asyncio
import threading


class ProxyLoop:
    """The thread and event loop that all proxies of a run share."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def stop(self):
        async def cancel():
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        self.call(cancel())
        self.loop.call_soon_threadsafe(self.loop.stop)


class Proxy:
    """Forwards connections to `target`. Bytes that arrive while a direction is cut are lost, and
    that connection stays silent for good, as after a partition whose sender gave up."""

    def __init__(self, proxies, address, target):
        self._proxies = proxies
        self._target = target
        self._writers = set()
        self.delay_s = 0.0
        self.cut_to_target = False
        self.cut_from_target = False
        self._server = proxies.call(asyncio.start_server(self._accept, *address))

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        try:
            upstream = await asyncio.open_connection(*self._target)
        except OSError:
            self._drop(writer)
            return
        self._writers.add(upstream[1])
        try:
            await asyncio.gather(
                self._forward(reader, upstream[1], lambda: self.cut_to_target),
                self._forward(upstream[0], writer, lambda: self.cut_from_target))
        except asyncio.CancelledError:
            pass  # the run is over

    async def _forward(self, reader, writer, is_cut):
        silent = False
        try:
            while data := await reader.read(65536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                silent = silent or is_cut()
                if not silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass  # the other direction ends with it
        if not silent:
            self._drop(writer)

    def _drop(self, writer):
        self._writers.discard(writer)
        writer.transport.abort()

    def heal(self):
        self.delay_s = 0.0
        self.cut_to_target = self.cut_from_target = False

    def reset(self):
        """Resets all open connections."""
        self._proxies.loop.call_soon_threadsafe(
            lambda: [self._drop(writer) for writer in list(self._writers)])

    def close(self):
        async def close():
            self._server.close()
            for writer in list(self._writers):
                self._drop(writer)
        self._proxies.call(close())
