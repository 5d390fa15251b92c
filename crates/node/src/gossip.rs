//! SWIM membership of all processes of the tier, over UDP.
//!
//! Every process runs one [`Gossip`], on the UDP port with the same number as its internal TCP port. It discovers which
//! processes are alive and at which addresses keepers listen, including keepers that the settings do not name. The
//! protocol is implemented by `juniperwing-membership`; this module adds the socket and the timer. Whether a store is
//! lost is decided by its links, not by this protocol.

mod view;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use juniperwing_clock::{Span, Time};
use juniperwing_membership::{
    Command, Event, MAX_DATAGRAM_BYTES, MAX_SEEDS, Member, MemberId, Membership, Role, RunId, Timings,
};
use juniperwing_protocol::{DiskId, NodeName};
use slog::{Logger, debug, warn};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use self::view::MemberView;
use crate::clock::{duration, now, random};
use crate::host::Datagrams;
use crate::panics::spawn_essential;
use crate::settings::{InternalPort, Settings};
use crate::sync::lock;

/// Interval between probes. Failures that need a fast reaction are detected by links, so probes can be infrequent.
const PROBE_INTERVAL: Span = Span::from_millis(1_000);
/// Timeout of a direct probe, after which indirect probes are requested.
const PROBE_TIMEOUT: Span = Span::from_millis(300);
/// Maximum number of datagrams read before the timer is checked.
const MAX_DATAGRAMS_PER_BATCH: usize = 64;
/// Delay before the socket is read again after an error.
const SOCKET_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Callback with the addresses of live keepers, called whenever they change.
pub type KeepersObserver = Box<dyn Fn(Vec<SocketAddr>) + Send + Sync>;

/// Properties of this process that are announced to other members.
#[derive(Clone, Copy, Debug)]
pub struct LocalMember {
    /// The role of the process.
    pub role: Role,
    /// The identity of its data directory, if it has one.
    pub disk: Option<DiskId>,
}

/// The membership of this process. Dropping it stops the protocol without announcing a leave.
pub struct Gossip {
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

struct Shared {
    socket: Datagrams,
    state: Mutex<State>,
    /// Notified when `wake_at` has changed.
    wake_up_changed: Notify,
    observer: KeepersObserver,
    log: Logger,
}

struct State {
    membership: Membership,
    wake_at: Time,
    view: MemberView,
}

impl Gossip {
    /// Opens the socket and starts to join the tier through the seeds.
    ///
    /// # Errors
    ///
    /// If the socket cannot be opened or the settings do not describe a valid member.
    pub async fn start(
        settings: &Settings, local: LocalMember, log: Logger, observer: KeepersObserver,
    ) -> io::Result<Gossip> {
        let local_member = member(settings, local);
        let socket = Datagrams::bind(local_member.gossip_address).await?;
        let view = MemberView::new(&local_member.id);
        let membership_settings =
            juniperwing_membership::Settings { local_member, seeds: seeds(settings), timings: timings() };
        let membership = Membership::new(now(), membership_settings, random()).map_err(io::Error::other)?;
        let state = Mutex::new(State { membership, wake_at: now(), view });
        let shared = Arc::new(Shared { socket, state, wake_up_changed: Notify::new(), observer, log });
        let task = spawn_essential("membership", Arc::clone(&shared).run());
        Ok(Gossip { shared, task })
    }

    /// Applies the seeds of changed settings.
    pub fn reload(&self, settings: &Settings) {
        self.shared.handle(Event::SeedsChanged(seeds(settings)));
    }

    /// Notifies other members that this process is shutting down.
    pub fn leave(&self) {
        self.shared.handle(Event::Leave);
        self.shared.lock().wake_at = Time::NEVER;
    }

    /// The addresses of live keepers, this process excluded.
    pub fn keepers(&self) -> Vec<SocketAddr> {
        self.shared.lock().view.keepers().to_vec()
    }

    /// The live relays of a zone, this process excluded.
    pub fn live_relays(&self, zone: &str) -> Vec<Member> {
        let state = self.shared.lock();
        view::live_members(&state.membership, Role::Relay)
            .filter(|member| &*member.zone == zone)
            .cloned()
            .collect()
    }
}

impl Drop for Gossip {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Shared {
    async fn run(self: Arc<Self>) {
        // One byte larger than the limit, so that oversized datagrams are detected.
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let delay = duration(self.lock().wake_at.since(now()));
            let readable = tokio::select! {
                biased;
                readable = self.socket.readable() => readable,
                () = tokio::time::sleep(delay) => Ok(()),
                () = self.wake_up_changed.notified() => continue,
            };
            // Received datagrams are handled before the tick, so that an ack among them does not count as missing.
            if readable.and_then(|()| self.read_datagrams(&mut buffer)).is_err() {
                tokio::time::sleep(SOCKET_RETRY_DELAY).await;
            }
            let is_due = self.lock().wake_at <= now();
            if is_due {
                self.handle(Event::Tick);
            }
        }
    }

    fn read_datagrams(&self, buffer: &mut [u8]) -> io::Result<()> {
        for _ in 0..MAX_DATAGRAMS_PER_BATCH {
            match self.socket.try_recv_from(buffer) {
                Ok((length, from)) => self.handle(Event::Datagram { from, bytes: &buffer[..length] }),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn handle(&self, event: Event<'_>) {
        let keepers = {
            let mut state = self.lock();
            let commands = state.membership.handle(now(), event);
            let mut has_changed = false;
            for command in commands {
                has_changed |= self.execute(&mut state, command);
            }
            let State { membership, view, .. } = &mut *state;
            if has_changed && view.update_keepers(membership) { Some(view.keepers().to_vec()) } else { None }
        };
        if let Some(keepers) = keepers {
            (self.observer)(keepers);
        }
    }

    /// Executes a command of the state machine. Returns whether a member has changed.
    fn execute(&self, state: &mut State, command: Command) -> bool {
        match command {
            Command::Send { to, bytes } => {
                // Datagrams may be lost, here as well as on the network.
                let _ = self.socket.try_send_to(&bytes, to);
            }
            Command::Changed { member, status } => {
                state.view.log_change(&self.log, &member, status);
                return true;
            }
            Command::WakeAt(at) => {
                state.wake_at = at;
                self.wake_up_changed.notify_one();
            }
            Command::Rejected { from, reason } => {
                debug!(self.log, "datagram rejected"; "from" => %from, "error" => %reason);
            }
            Command::Conflict { duplicate } => {
                warn!(self.log, "node name in use by another process";
                    "node" => %duplicate.id.node, "role" => ?duplicate.id.role, "address" => %duplicate.address);
            }
        }
        false
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

fn member(settings: &Settings, local: LocalMember) -> Member {
    let address = settings.own_address(port(local.role));
    Member {
        id: MemberId { node: NodeName::from(settings.node_name.as_str()), role: local.role },
        run_id: RunId(random()),
        zone: settings.zone.as_str().into(),
        gossip_address: address,
        address,
        disk: local.disk,
    }
}

fn port(role: Role) -> InternalPort {
    match role {
        Role::Relay => InternalPort::Relay,
        Role::Keeper => InternalPort::Keeper,
        Role::Store => InternalPort::Store,
    }
}

fn seeds(settings: &Settings) -> Vec<SocketAddr> {
    let mut seeds = settings.seed_keepers();
    seeds.truncate(MAX_SEEDS);
    seeds
}

fn timings() -> Timings {
    Timings { probe_interval: PROBE_INTERVAL, probe_timeout: PROBE_TIMEOUT, ..Timings::default() }
}
