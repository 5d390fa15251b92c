//! A relay whose sockets can all be closed at once.

use std::net::SocketAddr;
use std::thread::JoinHandle;

use juniperwing_protocol::registry::Instance;
use tokio::runtime::Builder;
use tokio::sync::oneshot;

use crate::support::{CONFIGURATION, RelayHarness};

const BODY_LIMIT: &str = r#""maxBodyBytes":65536"#;
const LARGER_BODY_LIMIT: &str = r#""maxBodyBytes":8388608"#;

/// The usual configuration with a larger limit for bodies.
pub fn configuration_for_long_bodies() -> String {
    CONFIGURATION.replace(BODY_LIMIT, LARGER_BODY_LIMIT)
}

/// A relay on a thread and runtime of its own, so that all its sockets can be closed.
pub struct RelayThread {
    pub frontend: SocketAddr,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

impl RelayThread {
    pub async fn start(instances: Vec<Instance>) -> RelayThread {
        let (started, starting) = oneshot::channel();
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                let harness = RelayHarness::start().await;
                harness.configure(1, &configuration_for_long_bodies());
                harness.publish_store_map();
                harness.publish_instances(true, instances);
                started.send(harness.frontend).unwrap();
                let _ = stopped.await;
            });
        });
        RelayThread { frontend: starting.await.unwrap(), stop, thread }
    }

    /// Stops the relay and closes all its connections at once.
    pub fn shut_down(self) {
        let _ = self.stop.send(());
        self.thread.join().unwrap();
    }
}
