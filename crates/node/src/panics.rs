//! What a panic ends: the process, unless it comes up in a task that concerns one caller only.
//!
//! A process that has lost a task, or whose state was left half changed, is worse than none: it is still counted on.
//! The platform starts one again that has ended. Tasks that serve a single connection are isolated instead: a panic
//! in one of them closes that connection, so that nothing a caller sends can take a process down. What they share
//! with others is changed in critical sections, where a panic ends the process after all.

use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use juniperwing_invariants::{Invariant, check};
use tokio::task::JoinHandle;

thread_local! {
    static IS_ISOLATED: Cell<bool> = const { Cell::new(false) };
}

/// Sets whether panics of this thread are isolated, until it is dropped.
struct IsolationScope {
    before: bool,
}

impl IsolationScope {
    fn enter(isolated: bool) -> IsolationScope {
        IsolationScope { before: IS_ISOLATED.replace(isolated) }
    }
}

impl Drop for IsolationScope {
    fn drop(&mut self) {
        IS_ISOLATED.set(self.before);
    }
}

/// Whether a panic of this thread, at this moment, ends no more than its task.
pub fn is_isolated() -> bool {
    IS_ISOLATED.get()
}

/// A task whose panics end nothing else.
pub struct Isolated<T> {
    inner: Pin<Box<dyn Future<Output = T> + Send>>,
}

/// Isolates a task that concerns one caller only.
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

/// Changes what several tasks share: a panic meanwhile ends the process, whoever called.
pub fn critical_section<T>(work: impl FnOnce() -> T) -> T {
    let _scope = IsolationScope::enter(false);
    work()
}

/// Starts a task that a process cannot do without. If it ever returns, it panics.
pub fn spawn_essential(
    name: &'static str, task: impl Future<Output = ()> + Send + 'static,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        task.await;
        check(Invariant::EssentialTaskRuns, false, || name.to_owned());
        panic!("the task {name} has ended");
    })
}
