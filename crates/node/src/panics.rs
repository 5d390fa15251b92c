//! Scope of panics: a panic terminates the process, unless it occurs in an isolated task.
//!
//! A process that has lost a task, or whose state was left inconsistent, is worse than none, since others still rely
//! on it; the platform restarts a process that has exited. Tasks that serve a single connection are isolated instead:
//! a panic in one of them closes that connection only, so that no input of a caller can terminate a process. State
//! that they share with other tasks is changed in critical sections, where a panic terminates the process after all.

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

/// Whether a panic of this thread, at this moment, terminates its task only.
pub fn is_isolated() -> bool {
    IS_ISOLATED.get()
}

/// A task whose panics terminate nothing else.
pub struct Isolated<T> {
    inner: Pin<Box<dyn Future<Output = T> + Send>>,
}

/// Isolates a task that serves one caller only.
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

/// Changes state that several tasks share: a panic of `work` terminates the process, also in an isolated task.
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
