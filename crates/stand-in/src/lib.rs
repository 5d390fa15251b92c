//! A stand-in endpoint for trying out and testing the serving tier.
//!
//! It does what the tier expects of an endpoint, without any real work. It registers by heartbeats ([`registration`]),
//! echoes requests or responds with a stream of numbered events ([`responses`]), and shuts down gracefully: it reports
//! that it is draining, continues to serve for a while, and deregisters.

pub mod command;
pub mod options;
pub mod registration;
pub mod responses;

use std::future::Future;
use std::io;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::options::EndpointOptions;
use crate::registration::{Registration, ReportedState};
use crate::responses::{EndpointService, router};

/// Serves until `stop` completes, then shuts down gracefully.
///
/// # Errors
///
/// If it cannot listen on the address.
pub async fn run_until(options: EndpointOptions, stop: impl Future<Output = ()>) -> io::Result<()> {
    let listener = TcpListener::bind(options.listen).await?;
    let address = listener.local_addr()?;
    let registration = Registration::new(&options, address);
    println!("endpoint {} of {} listens on {address}", options.instance_id, options.service);
    let service = Arc::new(EndpointService::new(options.clone()));
    let shutdown = Arc::new(Notify::new());
    let shutdown_requested = Arc::clone(&shutdown);
    let serving = axum::serve(listener, router(Arc::clone(&service)));
    let serving = serving.with_graceful_shutdown(async move { shutdown_requested.notified().await });
    let mut serving = tokio::spawn(async move { serving.await });
    let registered = registration.send_heartbeats_until(&options, stop).await;
    service.start_draining();
    if registered {
        println!("endpoint {} drains", options.instance_id);
        registration.report(ReportedState::Draining).await;
        sleep(options.drain_duration).await;
    }
    registration.deregister().await;
    shutdown.notify_one();
    // Requests that are still running after the timeout are aborted.
    let _ = timeout(options.drain_duration, &mut serving).await;
    println!("endpoint {} ends", options.instance_id);
    Ok(())
}
