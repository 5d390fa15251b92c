//! Handling of panics: a panic terminates the process, unless it occurs in an isolated task.
//!
//! A process that has lost a task, or whose state is inconsistent, is worse than one that has exited: other processes
//! continue to rely on it, whereas the platform restarts one that has exited. Tasks that serve a single connection are
//! isolated: a panic closes only that connection, so that no input of a caller can terminate the process. State that
//! they share with other tasks is changed in critical sections, in which a panic terminates the process.

use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use juniperwing_invariants::{Invariant, check};
use tokio::task::JoinHandle;

thread_local! {
    static IS_ISOLATED: Cell<bool> = const { Cell::new(false) };
}

/// Guard that sets whether panics of this thread are isolated, and restores the previous value when dropped.
struct IsolationScope {
    previous: bool,
}

impl IsolationScope {
    fn enter(is_isolated: bool) -> IsolationScope {
        IsolationScope { previous: IS_ISOLATED.replace(is_isolated) }
    }
}

impl Drop for IsolationScope {
    fn drop(&mut self) {
        IS_ISOLATED.set(self.previous);
    }
}

/// Whether a panic of the current thread would now terminate only its task.
pub fn is_isolated() -> bool {
    IS_ISOLATED.get()
}

/// A task whose panics terminate only itself.
pub struct Isolated<T> {
    inner: Pin<Box<dyn Future<Output = T> + Send>>,
}

/// Isolates a task that serves a single caller.
pub fn isolate<T>(task: impl Future<Output = T> + Send + 'static) -> Isolated<T> {
    Isolated { inner: Box::pin(task) }
}

impl<T> Future for Isolated<T> {
    type Output = T;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<T> {
        let _scope = IsolationScope::enter(true);
        self.inner.as_mut().poll(context)
    }
}

/// Runs `work`, which changes state shared between tasks: a panic terminates the process, even in an isolated task.
pub fn critical_section<T>(work: impl FnOnce() -> T) -> T {
    let _scope = IsolationScope::enter(false);
    work()
}

/// Spawns a task that the process cannot do without.
///
/// # Panics
///
/// The spawned task panics if `task` ever returns.
pub fn spawn_essential(
    name: &'static str, task: impl Future<Output = ()> + Send + 'static,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        task.await;
        check(Invariant::EssentialTaskRuns, false, || name.to_owned());
        panic!("essential task {name} returned");
    })
}
