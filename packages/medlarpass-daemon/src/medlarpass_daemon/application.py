"""Creates the roles of a process, starts them and shuts them down gracefully."""

from __future__ import annotations

import asyncio
import os
import signal

from typing import TYPE_CHECKING

from medlarpass import BootClock
from medlarpass_daemon.control.control_role import ControlRole
from medlarpass_daemon.descriptors import raise_descriptor_limit
from medlarpass_daemon.entry.entry_role import EntryRole
from medlarpass_daemon.entry.fleet import FleetEntryRole
from medlarpass_daemon.events import PROCESS_STARTED
from medlarpass_daemon.events import PROCESS_STOPPED
from medlarpass_daemon.events import STOP_ABANDONED
from medlarpass_daemon.events import STOP_REQUESTED
from medlarpass_daemon.events import STORAGE_FAILED
from medlarpass_daemon.observability import LogWriter
from medlarpass_daemon.observability import Metrics
from medlarpass_daemon.observability import PlatformServer
from medlarpass_daemon.observability import Readiness
from medlarpass_daemon.observability.readiness import STARTING
from medlarpass_daemon.request_bounds import ProcessBounds
from medlarpass_daemon.request_bounds import RequestBoundsMetrics
from medlarpass_daemon.rpc_channels import RpcChannels
from medlarpass_daemon.rpc_server import RpcServer
from medlarpass_daemon.seeds import Seeds
from medlarpass_daemon.settings_watcher import SettingsWatcher
from medlarpass_daemon.supervision import supervise

if TYPE_CHECKING:
    from medlarpass_daemon.settings import DaemonSettings
    from medlarpass_daemon.settings import EntrySettings

#: Reason that a process is not ready during a graceful shutdown.
STOPPING = "stopping"
#: Time for running gRPC calls to finish when the server stops.
RPC_GRACE_SECONDS = 2.0
EXIT_SUCCESS = 0
EXIT_FAILURE = 1


class Application:
    """A process with its roles.

    :param settings: validated settings
    """

    __slots__ = (
        "bounds",
        "channels",
        "clock",
        "control",
        "entry",
        "log_writer",
        "metrics",
        "platform",
        "readiness",
        "rpc",
        "seeds",
        "settings",
        "signals",
        "watcher",
        "watcher_task",
    )

    def __init__(self, settings: DaemonSettings) -> None:
        self.settings = settings
        self.clock = BootClock()
        self.channels = RpcChannels(settings.security.tls, settings.address_translation)
        self.rpc = RpcServer(settings)
        self.metrics = Metrics()
        self.readiness = Readiness()
        self.metrics.ready.set_function(lambda: float(self.readiness.is_ready))
        self.bounds = ProcessBounds(
            settings.limits, settings.descriptors, RequestBoundsMetrics(self.metrics.registry)
        )
        self.platform = PlatformServer(settings, self.readiness, self.metrics.registry, self.bounds)
        self.log_writer = LogWriter(
            settings.log_file, self.metrics.log_lines_dropped.inc, settings.log_rate
        )
        self.seeds = Seeds(settings)
        self.watcher = SettingsWatcher(settings, self.seeds)
        self.watcher_task: asyncio.Task[None] | None = None
        self.entry: EntryRole | FleetEntryRole | None = None
        self.control: ControlRole | None = None
        self.signals: asyncio.Queue[int] = asyncio.Queue()

    async def run(self) -> int:
        """Run until a signal requests a shutdown.

        :returns: exit status: 0 after a graceful shutdown, 1 after a second signal or a failure
        """
        self._add_signal_handlers()
        self.log_writer.start()
        raise_descriptor_limit(self.settings.descriptors)
        try:
            await self._start()
            PROCESS_STARTED.log(name=self.settings.name, domain=self.settings.domain)
            number = await self._wait_for_signal_or_failure()
            if number is None:
                return EXIT_FAILURE
            STOP_REQUESTED.log(signal=signal.Signals(number).name)
            return await self._stop_unless_interrupted()
        finally:
            self.log_writer.close()

    def _add_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.signals.put_nowait, number)
        loop.add_signal_handler(signal.SIGHUP, self.watcher.reload_requested.set)

    async def _start(self) -> None:
        if self.settings.control:
            self.control = ControlRole(
                self.settings,
                self.settings.control,
                self.channels,
                self.metrics,
                self.clock,
                self.seeds,
                self.bounds,
            )
            self.control.add_services(self.rpc.server)
        if self.settings.entry:
            self.entry = self._create_entry_role(self.settings.entry)
            self.entry.add_services(self.rpc.server)
        await self.platform.start()
        await self.rpc.start()
        if self.control:
            await self.control.start()
        if self.entry:
            await self.entry.start()
        self.watcher_task = asyncio.create_task(supervise("settings watcher", self.watcher.run))
        self.readiness.clear(STARTING)

    def _create_entry_role(self, entry: EntrySettings) -> EntryRole | FleetEntryRole:
        if self.settings.fleet is None:
            return EntryRole(
                self.settings,
                entry,
                self.channels,
                self.readiness,
                self.metrics,
                self.clock,
                self.bounds,
            )
        return FleetEntryRole(
            self.settings,
            entry,
            self.channels,
            self.readiness,
            self.metrics,
            self.clock,
            self.seeds,
            self.bounds,
        )

    async def _wait_for_signal_or_failure(self) -> int | None:
        signal_task = asyncio.create_task(self.signals.get())
        if self.control is None:
            return await signal_task
        failure_task = asyncio.create_task(self.control.replica.wait_failed())
        await asyncio.wait([signal_task, failure_task], return_when=asyncio.FIRST_COMPLETED)
        if signal_task.done():
            failure_task.cancel()
            return signal_task.result()
        signal_task.cancel()
        STORAGE_FAILED.log(reason=str(failure_task.result()))
        return None

    async def _stop_unless_interrupted(self) -> int:
        stop_task = asyncio.create_task(self._stop())
        second_signal = asyncio.create_task(self.signals.get())
        await asyncio.wait([stop_task, second_signal], return_when=asyncio.FIRST_COMPLETED)
        if not stop_task.done():
            STOP_ABANDONED.log(signal=signal.Signals(second_signal.result()).name)
            self.log_writer.close()
            # Threads of gRPC still run, and the shutdown of the interpreter under them may crash.
            os._exit(EXIT_FAILURE)
        second_signal.cancel()
        stop_task.result()
        PROCESS_STOPPED.log(name=self.settings.name)
        return EXIT_SUCCESS

    async def _stop(self) -> None:
        self.readiness.block(STOPPING, "a planned stop is under way")
        if self.entry:
            self.entry.start_draining()
        await asyncio.sleep(self.settings.stop.balancer_wait)
        if self.watcher_task is not None:
            self.watcher_task.cancel()
        if self.entry:
            await self.entry.finish()
            await self.entry.stop()
        if self.control:
            await self.control.stop()
        await self.rpc.stop(RPC_GRACE_SECONDS)
        await self.channels.close()
        await self.platform.stop()


async def run_application(settings: DaemonSettings) -> int:
    """Run a process. The application is created here because gRPC binds to the running event loop.

    :param settings: validated settings
    :returns: exit status
    """
    return await Application(settings).run()
