//! A simulated machine and its process, which the simulation runs step by step.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use juniperwing_clock::Time;
use juniperwing_node::host::{Host, simulate};
use tokio::runtime::Runtime;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::host::SimulatedHost;

/// A machine and the process that runs on it, if any.
pub struct Machine {
    /// The environment of the process.
    pub host: Arc<SimulatedHost>,
    process: Option<Process>,
    frozen: bool,
}

/// A running process.
struct Process {
    runtime: Runtime,
    started: Instant,
    started_at: Time,
    main: JoinHandle<()>,
    shutdown: Option<oneshot::Sender<()>>,
}

impl Machine {
    /// Creates a machine without a process.
    pub fn new(host: Arc<SimulatedHost>) -> Machine {
        Machine { host, process: None, frozen: false }
    }

    /// Whether there is a process, frozen or not.
    pub fn is_running(&self) -> bool {
        self.process.is_some()
    }

    /// Starts a process; `main` receives the request to shut down.
    ///
    /// # Panics
    ///
    /// If the runtime cannot be created.
    pub fn start<Main>(&mut self, now: Time, main: impl FnOnce(oneshot::Receiver<()>) -> Main)
    where
        Main: Future<Output = ()> + Send + 'static,
    {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_time().start_paused(true).build().expect("memory for a runtime");
        let _entered = simulate(Arc::<SimulatedHost>::clone(&self.host) as Arc<dyn Host>);
        let (shutdown, shutdown_requested) = oneshot::channel();
        let context = runtime.enter();
        self.host.clock.start_process();
        let started = Instant::now();
        let main = runtime.spawn(main(shutdown_requested));
        drop(context);
        self.process = Some(Process { runtime, started, started_at: now, main, shutdown: Some(shutdown) });
    }

    /// Runs the process up to `until`. Returns whether it has exited.
    pub fn run(&mut self, until: Time) -> bool {
        let Some(process) = self.process.as_mut().filter(|_| !self.frozen) else { return false };
        let _entered = simulate(Arc::<SimulatedHost>::clone(&self.host) as Arc<dyn Host>);
        let end = process.started + Duration::from_nanos(until.since(process.started_at).as_nanos());
        process.runtime.block_on(async move { tokio::time::sleep_until(end).await });
        let has_exited = process.main.is_finished();
        if has_exited {
            self.end_process();
        }
        has_exited
    }

    /// Whether the process is frozen.
    pub fn is_frozen(&self) -> bool {
        self.frozen
    }

    /// Suspends the process while its clock continues.
    pub fn freeze(&mut self) {
        self.frozen = true;
    }

    /// Resumes the process at `now`. Timers that expired meanwhile fire at once.
    pub fn thaw(&mut self, now: Time) {
        self.frozen = false;
        let Some(process) = &mut self.process else { return };
        let _entered = simulate(Arc::<SimulatedHost>::clone(&self.host) as Arc<dyn Host>);
        let end = process.started + Duration::from_nanos(now.since(process.started_at).as_nanos());
        process.runtime.block_on(async {
            let missed = end.saturating_duration_since(Instant::now());
            tokio::time::advance(missed).await;
        });
    }

    /// Asks the process to shut down.
    pub fn stop(&mut self) {
        let shutdown = self.process.as_mut().and_then(|process| process.shutdown.take());
        // The process may have dropped the receiver.
        let _ = shutdown.map(|shutdown| shutdown.send(()));
    }

    /// Kills the process. Its connections are closed, as the operating system does for a killed process.
    pub fn kill(&mut self, now: Time) {
        self.frozen = false;
        self.end_process();
        self.host.disk.kill_process(now);
    }

    fn end_process(&mut self) {
        if self.process.is_none() {
            return;
        }
        self.host.close_sockets();
        let _entered = simulate(Arc::<SimulatedHost>::clone(&self.host) as Arc<dyn Host>);
        self.host.clock.end_process();
        drop(self.process.take());
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.end_process();
    }
}
