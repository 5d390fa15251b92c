//! A stand-in for an endpoint, for trying the serving tier out and for its tests.
//!
//! It does what the tier expects of an endpoint and no work: it registers by heartbeats ([`registration`]),
//! answers requests with what it was sent and streams with numbered events ([`answers`]), and leaves in order: it
//! says that it drains, serves on, and says that it is gone.

pub mod answers;
pub mod command;
pub mod options;
pub mod registration;

use std::future::Future;
use std::io;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::answers::{Answering, router};
use crate::options::EndpointOptions;
use crate::registration::{Registration, State};

/// Serves until `stop` is over, then leaves in order.
///
/// # Errors
///
/// If the address cannot be listened on.
pub async fn run_until(options: EndpointOptions, stop: impl Future<Output = ()>) -> io::Result<()> {
    let listener = TcpListener::bind(options.listen).await?;
    let address = listener.local_addr()?;
    let registration = Registration::new(&options, address);
    println!("endpoint {} of {} listens on {address}", options.instance, options.service);
    let answering = Arc::new(Answering::new(options.clone()));
    let closing = Arc::new(Notify::new());
    let closed = Arc::clone(&closing);
    let serving = axum::serve(listener, router(Arc::clone(&answering)));
    let serving = serving.with_graceful_shutdown(async move { closed.notified().await });
    let mut serving = tokio::spawn(async move { serving.await });
    let registered = registration.beat_until(&options, stop).await;
    answering.leave();
    if registered {
        println!("endpoint {} drains", options.instance);
        registration.say(State::Draining).await;
        sleep(options.drain).await;
    }
    registration.end().await;
    closing.notify_one();
    // What is still under way after that is broken off.
    let _ = timeout(options.drain, &mut serving).await;
    println!("endpoint {} ends", options.instance);
    Ok(())
}
