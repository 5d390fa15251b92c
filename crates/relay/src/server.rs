//! Connects the processing stages of a notification and runs the event loop.
//!
//! Each iteration passes events to the stages, runs the core, executes its commands, writes the journal, and only then
//! sends bytes: no response may be sent before the state that it reports is in the journal.

mod commands;
mod endpoint_list;
mod outcomes;
mod recovery;
mod reload;
mod shutdown;
mod submissions;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use juniperwing::interface::NotificationId;
use juniperwing::time::Time;
use juniperwing_node::build_info;
use juniperwing_settings::Settings;
use slog::{Logger, info, o, warn};
use snafu::{ResultExt, Snafu};

use crate::admission::Admission;
use crate::client_connections::ClientConnections;
use crate::clock::Clock;
use crate::config::{Config, StaticConfig};
use crate::core_driver::CoreDriver;
use crate::discovery::Discovery;
use crate::event_loop::{ConnectionEvent, ConnectionRole, Net, PollResult, QueuedEvent, Signals, Token};
use crate::journal::{Journal, JournalEntry, OpenedJournal};
use crate::notices::NoticeSender;
use crate::upstream::{SentNotification, Upstream};
use recovery::RecoveryProgress;
use shutdown::Shutdown;

/// An error that prevents the relay from starting or continuing.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ServeError {
    #[snafu(display("{source}"))]
    RegisterSignals { source: io::Error },
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen { address: SocketAddr, source: io::Error },
    #[snafu(display("cannot open the journal in {}: {source}", directory.display()))]
    OpenJournal { directory: PathBuf, source: io::Error },
    #[snafu(display("{source}"))]
    WriteJournal { source: io::Error },
}

struct Server {
    config_path: PathBuf,
    static_config: StaticConfig,
    settings: Settings,
    net: Net,
    discovery: Discovery,
    client_connections: ClientConnections,
    admission: Admission,
    core: CoreDriver,
    upstream: Upstream,
    notices: NoticeSender,
    journal: Journal,
    /// Notifications submitted in this iteration and not yet answered, with the connections that submitted them.
    unanswered: BTreeMap<NotificationId, Vec<Token>>,
    recovery: RecoveryProgress,
    /// The progress of a shutdown; `None` before one is requested.
    shutdown: Option<Shutdown>,
    log: Logger,
}

/// Runs the relay, with the journal in `state_directory`, until a requested shutdown is complete.
pub fn serve(
    config: Config, state_directory: &Path, signals: Signals, log: Logger,
) -> Result<(), ServeError> {
    let clock = Clock::new();
    let mut server = Server::open(config, state_directory, signals, log, clock)?;
    server.run(clock)
}

impl Server {
    fn open(
        config: Config, state_directory: &Path, signals: Signals, log: Logger, clock: Clock,
    ) -> Result<Server, ServeError> {
        let limits = config.static_config.limits.connection_limits();
        let address = config.static_config.listen;
        // Binds the address before opening the journal, so that no two processes use the same directory.
        let net = Net::new(clock, address, signals, limits.max_clients).context(ListenSnafu { address })?;
        let OpenedJournal { journal, torn_bytes } =
            Journal::open(state_directory, config.static_config.limits.disk_bytes())
                .context(OpenJournalSnafu { directory: state_directory })?;
        if torn_bytes > 0 {
            warn!(log, "torn journal tail truncated"; "bytes" => torn_bytes);
        }
        let settings = config.settings;
        let mut server = Server {
            config_path: config.path,
            net,
            discovery: Discovery::new(config.discovery_address),
            client_connections: ClientConnections::default(),
            admission: Admission::default(),
            core: CoreDriver::new(clock.now(), config.static_config.seed, &settings),
            upstream: Upstream::new(settings.connections, limits.max_upstream),
            notices: NoticeSender::new(config.discovery_address),
            journal,
            unanswered: BTreeMap::new(),
            recovery: RecoveryProgress::default(),
            shutdown: None,
            settings,
            log: log.new(o!("relay" => config.static_config.name.clone())),
            static_config: config.static_config,
        };
        server.load_initial_endpoints(config.initial_endpoints, clock.now());
        server.recover_notifications(clock.now());
        Ok(server)
    }

    fn run(&mut self, clock: Clock) -> Result<(), ServeError> {
        self.log_start();
        loop {
            let polled = self.net.poll(self.next_iteration_at());
            let now = clock.now();
            let is_shutdown_requested = polled.is_shutdown_requested;
            self.handle_poll_result(polled, now);
            self.report_outcomes(now);
            self.run_core(now);
            for SentNotification { notification, zone } in self.upstream.write_ready_calls(&mut self.net, now)
            {
                self.journal.record_push(notification.0, now, &zone);
                self.count_recovered(notification, now);
            }
            self.journal.flush().context(WriteJournalSnafu)?;
            self.net.flush();
            if is_shutdown_requested {
                self.begin_shutdown(now);
            }
            if self.advance_shutdown(now) {
                return Ok(());
            }
        }
    }

    fn log_start(&self) {
        let listen = self.net.local_addr().unwrap_or(self.static_config.listen).to_string();
        let (outstanding, unpushed) = (self.journal.live_count(), self.recovery.pending.len());
        let is_ended = |entry: &JournalEntry| entry.notification.history.end.is_some();
        let ended = self.journal.live().filter(|(_, entry)| is_ended(entry)).count();
        info!(self.log, "serving"; "listen" => listen, "outstanding" => outstanding,
            "unpushed" => unpushed, "pushed" => outstanding - unpushed - ended,
            build_info::CURRENT);
    }

    /// Returns when the next iteration is due if no socket event occurs earlier.
    fn next_iteration_at(&self) -> Time {
        let decision_at =
            if self.upstream.has_outcomes() { Time::default() } else { self.core.next_decision_at() };
        let phase_ends_at = self.shutdown.map_or(Time::NEVER, |shutdown| shutdown.phase_ends_at());
        decision_at.min(self.notices.next_send_at()).min(phase_ends_at)
    }

    fn handle_poll_result(&mut self, polled: PollResult, now: Time) {
        self.client_connections.is_closing =
            self.shutdown.is_some_and(|shutdown| shutdown.is_admission_over(now));
        for queued in polled.events {
            // A deadline is ignored if the awaited event, which sets a new deadline, occurred in the same iteration.
            let is_deadline = queued.event == ConnectionEvent::DeadlineReached;
            if !is_deadline || self.net.has_no_deadline(queued.token) {
                self.handle_connection_event(queued, now);
            }
        }
        if polled.is_reload_requested {
            self.reload(now);
        }
    }

    fn handle_connection_event(&mut self, queued: QueuedEvent, now: Time) {
        let QueuedEvent { token, role, event } = queued;
        let net = &mut self.net;
        match role {
            ConnectionRole::Client => {
                let submission = self.client_connections.handle_connection_event(net, token, event, now);
                if let Some(submission) = submission {
                    self.handle_submission(token, submission, now);
                }
            }
            ConnectionRole::Endpoint => {
                self.upstream.handle_connection_event(net, token, event, &self.settings, now);
            }
            ConnectionRole::Watch => {
                let messages = self.discovery.handle_connection_event(net, token, event, now);
                self.handle_watch_messages(messages, now);
            }
            ConnectionRole::Notices => {
                let results = self.notices.handle_connection_event(net, token, event, now);
                self.handle_notice_results(results);
            }
        }
    }
}
