//! A machine with its process: started, run step by step, frozen, stopped, killed.

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

/// A machine and what runs on it.
pub struct Machine {
    /// What its process sees.
    pub host: Arc<SimulatedHost>,
    process: Option<Process>,
    frozen: bool,
}

struct Process {
    runtime: Runtime,
    started: Instant,
    started_at: Time,
    main: JoinHandle<()>,
    stop: Option<oneshot::Sender<()>>,
}

impl Machine {
    /// A machine on which nothing runs.
    pub fn new(host: Arc<SimulatedHost>) -> Machine {
        Machine { host, process: None, frozen: false }
    }

    /// Whether a process runs, frozen or not.
    pub fn is_running(&self) -> bool {
        self.process.is_some()
    }

    /// Starts a process; it is handed what tells it to end.
    ///
    /// # Panics
    ///
    /// If no runtime can be made.
    pub fn start<Main>(&mut self, now: Time, main: impl FnOnce(oneshot::Receiver<()>) -> Main)
    where
        Main: Future<Output = ()> + Send + 'static,
    {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_time().start_paused(true).build().expect("memory for a runtime");
        let _entered = simulate(Arc::<SimulatedHost>::clone(&self.host) as Arc<dyn Host>);
        let (stop, stopped) = oneshot::channel();
        let context = runtime.enter();
        self.host.clock.start_process();
        let started = Instant::now();
        let main = runtime.spawn(main(stopped));
        drop(context);
        self.process = Some(Process { runtime, started, started_at: now, main, stop: Some(stop) });
    }

    /// Runs the process up to `until`. Returns whether it has ended by itself.
    pub fn run(&mut self, until: Time) -> bool {
        let Some(process) = self.process.as_mut().filter(|_| !self.frozen) else { return false };
        let _entered = simulate(Arc::<SimulatedHost>::clone(&self.host) as Arc<dyn Host>);
        let end = process.started + Duration::from_nanos(until.since(process.started_at).as_nanos());
        process.runtime.block_on(async move { tokio::time::sleep_until(end).await });
        let ended = process.main.is_finished();
        if ended {
            self.end_process();
        }
        ended
    }

    /// The process stands still; its clock runs on.
    pub fn freeze(&mut self) {
        self.frozen = true;
    }

    /// The process goes on at `now`: all that became due meanwhile is due at once.
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

    /// Tells the process to end in an orderly way.
    pub fn stop(&mut self) {
        let stop = self.process.as_mut().and_then(|process| process.stop.take());
        // One that ends already no longer listens.
        let _ = stop.map(|stop| stop.send(()));
    }

    /// Ends the process at once. Its connections are closed as the operating system does.
    pub fn kill(&mut self, now: Time) {
        self.frozen = false;
        self.end_process();
        self.host.disk.kill_process(now);
    }

    fn end_process(&mut self) {
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
