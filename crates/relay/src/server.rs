//! The chain that a notification passes: take in, admit, route, send, relay, book. It owns the stages and
//! hands each turn's events from one to the next. It must never decide anything itself, nor let bytes out
//! that speak of what the store has not written yet.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use juniperwing::interface::{
    Command, DestinationId, EndpointId, EndpointListUpdate, Event, Notification, NotificationHistory,
    NotificationId, PossibleRun, PushOutcome, TopicType,
};
use juniperwing::time::{Span, Time};
use slog::{Logger, debug, info, o, warn};
use snafu::{ResultExt, Snafu};

use crate::admission::Admission;
use crate::client_connections::{ClientConnections, Submission, SubmissionResponse};
use crate::config::{Config, StaticConfig};
use crate::core_driver::CoreDriver;
use crate::discovery::{Discovery, EndpointList, ListChange};
use crate::event_loop::{Clock, ConnectionEvent, Net, Role, Signals, Token};
use crate::journal::{AcceptedNotification, Guarantee, Journal, OpenedJournal, UndeliveredEnd};
use crate::notices::NoticeSender;
use crate::upstream::{CallOutcome, PushRequest, Upstream};

/// After a signal to stop, all goes on for so long; then there are no slots for further calls, and those out
/// may end; then no more is taken in, and what is owed is left to the next process. Together well before a
/// machine that is put down kills what still runs.
const CALLS_END_AFTER: Span = Span::from_millis(2_000);
const ADMISSION_ENDS_AFTER: Span = Span::from_millis(2_800);
const SHUTDOWN_TIMEOUT: Span = Span::from_millis(3_100);

/// How far the stop has come.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ShutdownPhase {
    Serving,
    AdmittingOnly,
    Closing,
}

impl ShutdownPhase {
    fn ends_after(self) -> Span {
        match self {
            ShutdownPhase::Serving => CALLS_END_AFTER,
            ShutdownPhase::AdmittingOnly => ADMISSION_ENDS_AFTER,
            ShutdownPhase::Closing => SHUTDOWN_TIMEOUT,
        }
    }
}

struct Server {
    /// Where the configuration is.
    config_path: PathBuf,
    static_config: StaticConfig,
    settings: juniperwing_settings::Settings,
    net: Net,
    discovery: Discovery,
    client_connections: ClientConnections,
    admission: Admission,
    core: CoreDriver,
    upstream: Upstream,
    notices: NoticeSender,
    journal: Journal,
    /// Handed in in this turn and not answered yet: by whom. One that comes twice has one answer.
    unanswered: BTreeMap<NotificationId, Vec<Token>>,
    recovered: Recovered,
    log: Logger,
}

/// What an earlier process took on and never pushed, and what has become of it.
#[derive(Default)]
struct Recovered {
    pending: BTreeSet<NotificationId>,
    pushed: usize,
    /// Ended with no push, out of time or not.
    expired: usize,
    given_up: usize,
}

/// The relay cannot start or cannot go on.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ServeError {
    #[snafu(display("{source}"))]
    RegisterSignals { source: io::Error },
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen { address: SocketAddr, source: io::Error },
    #[snafu(display("cannot open the log in {}: {source}", directory.display()))]
    OpenJournal { directory: PathBuf, source: io::Error },
    #[snafu(display("{source}"))]
    WriteJournal { source: io::Error },
}

/// Serves, with the journal in `state`, until a stop is requested and done.
pub fn serve(config: Config, state: &Path, signals: Signals, log: Logger) -> Result<(), ServeError> {
    let clock = Clock::new();
    let limits = config.static_config.limits.connection_limits();
    let address = config.static_config.listen;
    // The address first, so that no two processes share a directory.
    let net = Net::new(clock, address, signals, limits.max_clients).context(ListenSnafu { address })?;
    let OpenedJournal { journal, torn_bytes } =
        Journal::open(state, config.static_config.limits.disk_bytes())
            .context(OpenJournalSnafu { directory: state })?;
    if torn_bytes > 0 {
        warn!(log, "a torn tail of the log was cut off"; "bytes" => torn_bytes);
    }
    let settings = config.settings;
    let mut chain = Server {
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
        recovered: Recovered::default(),
        settings,
        log: log.new(o!("relay" => config.static_config.name.clone())),
        static_config: config.static_config,
    };
    chain.load_initial_endpoints(config.initial_endpoints, clock.now());
    chain.recover_notifications(clock.now());
    let listen = chain.net.local_addr().unwrap_or(chain.static_config.listen).to_string();
    let (owed, untried) = (chain.journal.live_count(), chain.recovered.pending.len());
    let heard = chain.journal.live().filter(|(_, kept)| kept.notification.history.end.is_some()).count();
    info!(chain.log, "serving"; "listen" => listen, "owed" => owed, "untried" => untried,
        "tried" => owed - untried - heard);
    chain.run(clock)
}

impl Server {
    fn run(&mut self, clock: Clock) -> Result<(), ServeError> {
        let mut stop: Option<(Time, ShutdownPhase)> = None;
        loop {
            let until =
                if self.upstream.has_outcomes() { Time::default() } else { self.core.next_decision_at() };
            let next = stop.map_or(Time::NEVER, |(since, stage)| since + stage.ends_after());
            let turn = self.net.poll(until.min(self.notices.next_send_at()).min(next));
            let now = clock.now();
            self.client_connections.is_closing =
                stop.is_some_and(|(since, _)| since + ADMISSION_ENDS_AFTER <= now);
            for (token, role, what) in turn.connection_events {
                // Guards against a time that is up in the turn in which what was waited for has come.
                if what != ConnectionEvent::DeadlineReached || self.net.has_no_deadline(token) {
                    self.handle_connection_event(token, role, what, now);
                }
            }
            if turn.is_reload_requested {
                self.reload(now);
            }
            self.report_outcomes(now);
            self.run_core(now);
            for (ntf, zone) in self.upstream.write_ready_calls(&mut self.net, now) {
                self.journal.record_push(ntf.0, now, &zone);
                self.count_recovered(ntf, now);
            }
            self.journal.flush().context(WriteJournalSnafu)?;
            self.net.flush();
            if turn.is_stop_requested && stop.is_none() {
                info!(self.log, "stopping"; "owed" => self.journal.live_count(), "calls" => self.upstream.calls_in_flight());
                self.client_connections.is_stopping = true;
                stop = Some((now, ShutdownPhase::Serving));
            }
            let Some((since, stage)) = &mut stop else { continue };
            let due = *since + stage.ends_after() <= now;
            match stage {
                ShutdownPhase::Serving if due => {
                    *stage = ShutdownPhase::AdmittingOnly;
                    info!(self.log, "no further calls"; "calls" => self.upstream.calls_in_flight());
                    self.core.enqueue(Event::SlotLimitChanged(0));
                }
                ShutdownPhase::AdmittingOnly if due => {
                    *stage = ShutdownPhase::Closing;
                    self.net.stop_listening();
                }
                // What is out may still end, and is no doubt of the next process then.
                ShutdownPhase::Closing
                    if self.client_connections.close_idle(&mut self.net)
                        && self.upstream.calls_in_flight() == 0
                        || due =>
                {
                    self.net.flush();
                    info!(self.log, "stopped"; "owed" => self.journal.live_count(), "calls" => self.upstream.calls_in_flight());
                    return Ok(());
                }
                _ => {}
            }
        }
    }

    /// Reads the configuration anew. Settings and where discovery is take effect at once; what was taken on keeps
    /// its effect and its time, and calls, waits, drains and returns under way go on as they are.
    fn reload(&mut self, now: Time) {
        let config = match Config::read(Some(self.config_path.clone())) {
            Ok(config) => config,
            // Guards against a file that is half written or wrong: what was read before holds.
            Err(e) => return warn!(self.log, "the new configuration cannot be used"; "why" => e.to_string()),
        };
        let held = self.journal.live().map(|(_, kept)| kept.notification.attributes.topic.as_str());
        if let Some(why) = self.settings.bars(&config.settings, held, self.discovery.kinds()) {
            return warn!(self.log, "the new configuration cannot be used"; "why" => why);
        }
        let fixed = self.static_config.changed_keys(&config.static_config);
        if !fixed.is_empty() {
            warn!(self.log, "changes that wait for the next start"; "keys" => fixed.join(", "));
        }
        info!(self.log, "configuration read anew"; "discovery" => config.discovery_address.to_string(),
            "settings" => config.settings.to_string());
        self.settings = config.settings;
        self.upstream.apply_settings(&mut self.net, self.settings.connections);
        self.core.enqueue(Event::ConfigChanged(self.settings.relay_config.clone()));
        self.core.enqueue(Event::EndpointListUpdated(self.discovery.apply_settings(&self.settings)));
        if config.discovery_address == self.discovery.address {
            return;
        }
        self.notices.change_address(&mut self.net, config.discovery_address, now);
        if !self.discovery.change_address(&mut self.net, config.discovery_address, now) {
            self.handle_watch_failure("cannot be opened");
        }
    }

    /// Tells the core what an earlier process took on and still owes, in the order taken.
    fn recover_notifications(&mut self, now: Time) {
        let mut owed = Vec::new();
        for (n, kept) in self.journal.live() {
            let (taken, history) = (&kept.notification, &kept.notification.history);
            if history.end.is_some() {
                self.notices.enqueue(n);
            }
            // A push that was out when the process ended may have run, and may do so still.
            let ran = history.first_may_have_run.as_ref().or(history.in_flight.as_ref());
            let past = NotificationHistory {
                push_count: history.push_count,
                first_possible_run: ran.map(|push| PossibleRun {
                    sent_at: Time::from_nanos(push.sent_at_ns),
                    zone: Arc::from(push.zone.as_str()),
                }),
                last_doubtful_end: if history.in_flight.is_some() {
                    Some(now)
                } else {
                    history.may_run_since_ns.map(Time::from_nanos)
                },
                has_final_answer: history.end.is_some(),
                is_recovered: true,
            };
            if history.push_count == 0 && history.end.is_none() {
                self.recovered.pending.insert(NotificationId(n));
            }
            // Guards against a topic type that the settings lack since: what was promised holds, and it is tried.
            let lacking =
                || Arc::new(TopicType { name: taken.attributes.topic.clone(), ..TopicType::default() });
            let topic = self.settings.topic_type(&taken.attributes.topic);
            let topic = match taken.guarantee {
                Some(kept) => Some(Arc::new(kept.apply_to(&topic.unwrap_or_else(lacking)))),
                None => topic,
            };
            let notification = topic.map(|topic| self.notification(n, taken, topic, past));
            owed.push((n, history.in_flight.is_some(), notification));
        }
        for (n, out, notification) in owed {
            if out {
                self.journal.record_push_ended(n, true, Some(now));
            }
            match notification {
                Some(notification) => self.core.enqueue(Event::Accepted(notification)),
                // In a log that is older than promises: nobody here knows how to treat it any more.
                None => self.end_undelivered(NotificationId(n), UndeliveredEnd::GivenUp, now),
            }
        }
    }

    /// Counts what became of a notification that an earlier process left untried, once it has gone out or ended.
    fn count_recovered(&mut self, ntf: NotificationId, now: Time) {
        let up = &mut self.recovered;
        if !up.pending.remove(&ntf) {
            return;
        }
        match self.journal.get(ntf.0).map(|kept| &kept.notification) {
            Some(taken) if taken.history.end.is_none() => up.pushed += 1,
            Some(taken) if taken.valid_until_ns > now.since(Time::default()).as_nanos() => up.given_up += 1,
            _ => up.expired += 1,
        }
        if up.pending.is_empty() {
            info!(self.log, "all that was taken up untried was tried or has ended"; "tried" => up.pushed,
                "out of time" => up.expired, "given up" => up.given_up);
        }
    }

    fn notification(
        &self, n: u64, taken: &AcceptedNotification, topic: Arc<TopicType>, past: NotificationHistory,
    ) -> Notification {
        Notification {
            id: NotificationId(n),
            destination: DestinationId(taken.attributes.destination),
            topic,
            account: taken.attributes.account.as_ref().and_then(|name| self.settings.account(name)),
            key: taken.attributes.key.clone(),
            valid_until: Time::from_nanos(taken.valid_until_ns),
            history: past,
        }
    }

    fn handle_connection_event(&mut self, token: Token, role: Role, what: ConnectionEvent, now: Time) {
        match role {
            Role::Client => {
                if let Some(handed_in) =
                    self.client_connections.handle_connection_event(&mut self.net, token, what, now)
                {
                    self.handle_submission(token, handed_in, now);
                }
            }
            Role::Endpoint => {
                self.upstream.handle_connection_event(&mut self.net, token, what, &self.settings, now)
            }
            Role::Watch => {
                let brought = self.discovery.handle_connection_event(&mut self.net, token, what, now);
                // Word that nothing has changed is news too: the watch is well.
                if brought.has_message && brought.lists.is_empty() {
                    self.core.enqueue(Event::EndpointListUpdated(EndpointListUpdate::Changes(Vec::new())));
                }
                brought.lists.into_iter().for_each(|list| self.handle_list(list, now));
                brought.failure.into_iter().for_each(|why| self.handle_watch_failure(why));
            }
            Role::Notices => {
                let heard = self.notices.handle_connection_event(&mut self.net, token, what, now);
                if let Some(n) = heard.rejected {
                    let id = self.journal.get(n).map(|kept| kept.notification.attributes.id.clone());
                    warn!(self.log, "a notice was refused as unreadable"; "id" => id);
                }
                heard
                    .acknowledged
                    .into_iter()
                    .chain(heard.rejected)
                    .for_each(|n| self.handle_notice_acknowledged(NotificationId(n)));
            }
        }
    }

    /// Takes in the list as an earlier process held it.
    fn load_initial_endpoints(&mut self, list: EndpointList, now: Time) {
        let learnt = self.discovery.apply_list(list, &self.settings, now);
        self.warn_without_address(&learnt.without_address);
        if let EndpointListUpdate::Snapshot(entries) | EndpointListUpdate::Changes(entries) = learnt.update {
            self.core.enqueue(Event::EndpointListUpdated(EndpointListUpdate::CachedSnapshot(entries)));
        }
    }

    fn warn_without_address(&self, endpoints: &[EndpointId]) {
        for endpoint in endpoints {
            warn!(self.log, "the list has no address that can be read"; "endpoint" => &*endpoint.0);
        }
    }

    fn handle_list(&mut self, list: EndpointList, now: Time) {
        let ListChange { update, withdrawn, without_address } =
            self.discovery.apply_list(list, &self.settings, now);
        self.warn_without_address(&without_address);
        if let EndpointListUpdate::Changes(entries) | EndpointListUpdate::Snapshot(entries) = &update {
            debug!(self.log, "the list has news"; "entries" => entries.len(), "left" => withdrawn.len());
        }
        withdrawn
            .iter()
            .for_each(|endpoint| self.upstream.handle_endpoint_withdrawn(&mut self.net, endpoint, now));
        self.core.enqueue(Event::EndpointListUpdated(update));
    }

    fn handle_watch_failure(&mut self, why: &str) {
        info!(self.log, "the watch on the list broke"; "why" => why);
        self.core.enqueue(Event::EndpointListUpdated(EndpointListUpdate::Failed));
    }

    fn handle_submission(&mut self, token: Token, handed_in: Submission, now: Time) {
        // Guards against an id that comes twice in a turn: it is on record, and may be refused all the same.
        if self.journal.contains_id(&handed_in.attributes.id) {
            let held =
                |ntf: &NotificationId| self.journal.get(ntf.0).map(|kept| &kept.notification.attributes.id);
            let same = |ntf: &NotificationId| held(ntf) == Some(&handed_in.attributes.id);
            if let Some((_, tokens)) = self.unanswered.iter_mut().find(|(ntf, _)| same(ntf)) {
                return tokens.push(token);
            }
        }
        let topic = match self.admission.admit(&handed_in, &self.settings, &self.journal, &self.discovery) {
            Ok(topic) => topic,
            Err(answer) => {
                debug!(self.log, "not taken on"; "id" => &handed_in.attributes.id, "answer" => format!("{answer:?}"));
                if answer == SubmissionResponse::Unavailable {
                    self.admission.record_response(&handed_in.attributes.id, answer);
                }
                return self.client_connections.respond_to_submission(&mut self.net, token, answer);
            }
        };
        // Guards against times to live without end: nothing is held longer than its topic type may be.
        let longest = if topic.ttl > Span::ZERO { topic.ttl } else { handed_in.time_left };
        let time_left = handed_in.time_left.min(longest);
        let n = self.journal.accept(
            handed_in.attributes,
            now + time_left,
            Guarantee::from(&*topic),
            handed_in.body,
        );
        let Some(kept) = self.journal.get(n) else { return };
        debug!(self.log, "taken on"; "id" => &kept.notification.attributes.id, "n" => n,
            "dest" => kept.notification.attributes.destination, "topic" => &kept.notification.attributes.topic);
        let notification = self.notification(n, &kept.notification, topic, NotificationHistory::default());
        self.unanswered.insert(NotificationId(n), vec![token]);
        self.core.enqueue(Event::Accepted(notification));
    }

    /// Tells the core how pushes and probes ended.
    fn report_outcomes(&mut self, now: Time) {
        for (endpoint, wait) in self.upstream.take_retry_afters() {
            debug!(self.log, "a wait was told"; "endpoint" => &*endpoint.0, "ms" => wait.as_nanos() / 1_000_000);
            self.core.enqueue(Event::RetryAfterReported { endpoint, retry_after: wait });
        }
        for ended in self.upstream.take_outcomes() {
            let CallOutcome { ntf, push_number, endpoint, result, elapsed, retry_after, limit } = ended;
            let status = result.status;
            let Some(ntf) = ntf else {
                self.core.enqueue(Event::ProbeEnded { endpoint, status, rate_limit: limit });
                continue;
            };
            debug!(self.log, "push ended"; "n" => ntf.0, "push" => push_number, "endpoint" => &*endpoint.0,
                "status" => format!("{status:?}"), "ms" => elapsed.as_nanos() / 1_000_000,
                "left" => limit.map(|limit| limit.remaining_fraction), "rate" => limit.map(|limit| limit.rate_per_second));
            self.journal.record_push_ended(
                ntf.0,
                status.may_have_run(),
                status.may_be_running().then_some(now),
            );
            if result.is_final {
                self.forget(ntf);
            }
            let settled = self.journal.get(ntf.0).is_none_or(|kept| kept.notification.history.end.is_some());
            let outcome = PushOutcome {
                notification: ntf,
                push_index: push_number,
                endpoint,
                status,
                elapsed,
                has_final_answer: settled,
                retry_after,
                rate_limit: limit,
            };
            self.core.enqueue(Event::PushEnded(outcome));
        }
    }

    /// Has the core decide, and carries out what it commands, in order.
    fn run_core(&mut self, now: Time) {
        let commands = self.core.decide(now);
        let mut rest = commands.as_slice();
        while let Some((command, later)) = rest.split_first() {
            rest = later;
            match command {
                Command::Push { endpoint, .. } => {
                    let same = |c: &&Command| matches!(c, Command::Push { endpoint: e, .. } if e == endpoint);
                    let more = later.iter().take_while(same).count();
                    let pushes: Vec<(NotificationId, Span, Span)> =
                        std::iter::once(command).chain(&later[..more]).filter_map(push_parameters).collect();
                    rest = &later[more..];
                    self.push_to_endpoint(endpoint, &pushes, now);
                }
                Command::Cancel { notification, push_index } => {
                    self.upstream.cancel(&mut self.net, *notification, *push_index, now)
                }
                Command::Throttle { notification, retry_after } => {
                    if let Some(tokens) = self.unanswered.remove(notification) {
                        self.respond(tokens, *notification, SubmissionResponse::Throttled(*retry_after));
                        self.handle_notice_acknowledged(*notification);
                    } else {
                        self.end_undelivered(
                            *notification,
                            UndeliveredEnd::ReturnedToClient(retry_after.as_nanos() / 1_000_000),
                            now,
                        );
                    }
                }
                Command::Expire(ntf) => {
                    if let Some(tokens) = self.unanswered.remove(ntf) {
                        self.respond(tokens, *ntf, SubmissionResponse::Expired);
                        self.handle_notice_acknowledged(*ntf);
                    } else {
                        self.end_undelivered(*ntf, UndeliveredEnd::GivenUp, now);
                    }
                }
                Command::WakeAfter(_) => {}
                Command::SubscribeToEndpointList => {
                    if !self.discovery.subscribe(&mut self.net, now) {
                        self.handle_watch_failure("cannot be opened");
                    }
                }
                Command::Probe(endpoint) => {
                    self.upstream.probe(&mut self.net, endpoint, self.discovery.endpoint(endpoint), now);
                }
                Command::CloseIdleConnections(endpoint) => self.upstream.close_idle(&mut self.net, endpoint),
                Command::CancelUnsent(endpoint) => self.upstream.cancel_unsent(&mut self.net, endpoint, now),
                Command::Log(line) => info!(self.log, "{}", line),
            }
        }
        for (ntf, tokens) in std::mem::take(&mut self.unanswered) {
            self.respond(tokens, ntf, SubmissionResponse::Accepted);
        }
        self.notices.send_queued(&mut self.net, &self.journal, now);
    }

    fn respond(&mut self, tokens: Vec<Token>, ntf: NotificationId, answer: SubmissionResponse) {
        if let Some(kept) = self.journal.get(ntf.0) {
            self.admission.record_response(&kept.notification.attributes.id, answer);
        }
        tokens
            .into_iter()
            .for_each(|token| self.client_connections.respond_to_submission(&mut self.net, token, answer));
    }

    fn push_to_endpoint(
        &mut self, endpoint: &EndpointId, pushes: &[(NotificationId, Span, Span)], now: Time,
    ) {
        let place = self.discovery.endpoint(endpoint);
        let numbers: Vec<_> = pushes.iter().map(|(ntf, ..)| self.journal.count_push(ntf.0)).collect();
        let outgoing = pushes.iter().zip(numbers).filter_map(|((ntf, time_out, send_within), number)| {
            let kept = self.journal.get(ntf.0)?;
            let left = Time::from_nanos(kept.notification.valid_until_ns).since(now);
            Some(PushRequest {
                ntf: *ntf,
                id: &kept.notification.attributes.id,
                idempotency_key: kept.notification.attributes.idempotency_key.as_deref(),
                body: &kept.body,
                push_number: number?,
                is_ordered: kept.notification.attributes.key.is_some()
                    && kept.notification.guarantee.map_or_else(
                        || {
                            self.settings
                                .topic_type(&kept.notification.attributes.topic)
                                .is_some_and(|topic| topic.is_ordered)
                        },
                        |kept| kept.is_ordered,
                    ),
                timeout: (*time_out).min(left),
                send_within: *send_within,
            })
        });
        let outgoing: Vec<PushRequest<'_>> = outgoing.collect();
        debug!(self.log, "push"; "endpoint" => &*endpoint.0,
            "n" => format!("{:?}", pushes.iter().map(|push| push.0.0).collect::<Vec<_>>()));
        self.upstream.push(&mut self.net, endpoint, place, &outgoing, now);
    }

    /// Not delivered: its client is told by a notice.
    fn end_undelivered(&mut self, ntf: NotificationId, end: UndeliveredEnd, now: Time) {
        self.journal.record_end(ntf.0, end);
        self.count_recovered(ntf, now);
        if let Some(kept) = self.journal.get(ntf.0) {
            debug!(self.log, "ended"; "id" => &kept.notification.attributes.id, "n" => ntf.0, "end" => format!("{end:?}"));
            self.notices.enqueue(ntf.0);
        }
    }

    /// The client has heard of the end: nothing more is owed.
    fn handle_notice_acknowledged(&mut self, ntf: NotificationId) {
        debug!(self.log, "end heard"; "n" => ntf.0);
        self.forget(ntf);
        self.core.enqueue(Event::FinalAnswerAcknowledged(ntf));
    }

    fn forget(&mut self, ntf: NotificationId) {
        self.upstream.forget(ntf);
        if self.journal.get(ntf.0).is_some() {
            self.journal.close(ntf.0);
        }
    }
}

fn push_parameters(command: &Command) -> Option<(NotificationId, Span, Span)> {
    match command {
        Command::Push { notification, timeout, send_within, .. } => {
            Some((*notification, *timeout, *send_within))
        }
        _ => None,
    }
}
