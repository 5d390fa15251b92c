//! SWIM membership among all processes of the tier, over UDP.
//!
//! Every role runs one [`Gossip`] on the number of its port for the tier's own messages. It learns which processes
//! live and where keepers listen, beyond the seeds of the settings. The protocol is `juniperwing-membership`; this is
//! its socket and its timer. Whether a store is lost is decided by its links, not here.

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
use crate::settings::{Port, Settings};
use crate::sync::lock;

/// From one probe to the next. Losses that matter at once show on links, so that this can be rare.
const PROBE_INTERVAL: Span = Span::from_millis(1_000);
/// How long a probe may take before other members are asked to help.
const PROBE_TIMEOUT: Span = Span::from_millis(300);
/// Datagrams that are read before the timer has its turn.
const MAX_DATAGRAMS_PER_BATCH: usize = 64;
/// The pause after the socket has failed.
const SOCKET_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Is told where live keepers listen, whenever that changes.
pub type KeepersObserver = Box<dyn Fn(Vec<SocketAddr>) + Send + Sync>;

/// What a process tells of itself.
#[derive(Clone, Copy, Debug)]
pub struct LocalProcess {
    /// Its role.
    pub role: Role,
    /// The identity of its data folder, if it has one.
    pub disk: Option<DiskId>,
}

/// This process as a member; it ends when dropped.
pub struct Gossip {
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

struct Shared {
    socket: Datagrams,
    state: Mutex<State>,
    /// The time of the next tick is another one.
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
    /// Opens the socket and looks for the other members through the seeds.
    ///
    /// # Errors
    ///
    /// If the socket cannot be opened or the settings name no usable member.
    pub async fn start(
        settings: &Settings, myself: LocalProcess, log: Logger, observer: KeepersObserver,
    ) -> io::Result<Gossip> {
        let me = member(settings, myself);
        let socket = Datagrams::bind(me.gossip_address).await?;
        let view = MemberView::new(&me.id);
        let membership_settings =
            juniperwing_membership::Settings { local_member: me, seeds: seeds(settings), timings: timings() };
        let membership = Membership::new(now(), membership_settings, random()).map_err(io::Error::other)?;
        let state = Mutex::new(State { membership, wake_at: now(), view });
        let shared = Arc::new(Shared { socket, state, wake_up_changed: Notify::new(), observer, log });
        let task = spawn_essential("membership", Arc::clone(&shared).run());
        Ok(Gossip { shared, task })
    }

    /// Takes the seeds of settings that have changed.
    pub fn reload(&self, settings: &Settings) {
        self.shared.handle(Event::SeedsChanged(seeds(settings)));
    }

    /// Tells the others that this process ends.
    pub fn leave(&self) {
        self.shared.handle(Event::Leave);
        self.shared.lock().wake_at = Time::NEVER;
    }

    /// Where live keepers listen, this process not counted.
    pub fn keepers(&self) -> Vec<SocketAddr> {
        self.shared.lock().view.keepers().to_vec()
    }

    /// The live relays of a zone, this process not counted.
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
        // One byte more than allowed, so that what is too long shows.
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let pause = duration(self.lock().wake_at.since(now()));
            let readable = tokio::select! {
                biased;
                readable = self.socket.readable() => readable,
                () = tokio::time::sleep(pause) => Ok(()),
                () = self.wake_up_changed.notified() => continue,
            };
            // What waits in the socket is heard before anything counts as missing.
            if readable.and_then(|()| self.read_datagrams(&mut buffer)).is_err() {
                tokio::time::sleep(SOCKET_RETRY_DELAY).await;
            }
            let due = self.lock().wake_at <= now();
            if due {
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
            let mut changed = false;
            for command in commands {
                changed |= self.execute(&mut state, command);
            }
            let State { membership, view, .. } = &mut *state;
            if changed && view.update_keepers(membership) { Some(view.keepers().to_vec()) } else { None }
        };
        if let Some(keepers) = keepers {
            (self.observer)(keepers);
        }
    }

    /// Returns whether a member has changed.
    fn execute(&self, state: &mut State, command: Command) -> bool {
        match command {
            Command::Send { to, bytes } => {
                // A datagram may be lost, here as well as under way.
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
                debug!(self.log, "datagram refused"; "from" => %from, "why" => %reason);
            }
            Command::Conflict { duplicate } => {
                warn!(self.log, "another process has this one's name";
                    "node" => %duplicate.id.node, "role" => ?duplicate.id.role, "address" => %duplicate.address);
            }
        }
        false
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

fn member(settings: &Settings, myself: LocalProcess) -> Member {
    let address = settings.own_address(port(myself.role));
    Member {
        id: MemberId { node: NodeName::from(settings.node_name.as_str()), role: myself.role },
        run_id: RunId(random()),
        zone: settings.zone.as_str().into(),
        gossip_address: address,
        address,
        disk: myself.disk,
    }
}

fn port(role: Role) -> Port {
    match role {
        Role::Relay => Port::Relay,
        Role::Keeper => Port::Keeper,
        Role::Store => Port::Store,
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
