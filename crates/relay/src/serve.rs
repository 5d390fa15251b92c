//! The chain that a notification passes: take in, admit, route, send, relay, book. It owns the stages and
//! hands each turn's events from one to the next. It must never decide anything itself, nor let bytes out
//! that speak of what the store has not written yet.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use juniperwing::interface::{
    Command, DestinationId, EndpointId, EndpointListUpdate, Event, Notification, NotificationHistory,
    NotificationId, PossibleRun, PushOutcome, TopicType,
};
use juniperwing::time::{Span, Time};
use slog::{Logger, debug, info, o, warn};

use crate::admit::Admit;
use crate::book::Book;
use crate::config::{Config, Fixed};
use crate::discovery::{Discovery, Learnt, List};
use crate::event_loop::{Clock, Happening, Net, Role, Signals, Token};
use crate::route::Route;
use crate::send::{Ended, Push, Send};
use crate::store::{End, Promise, Store, Taken};
use crate::take_in::{Answer, HandedIn, TakeIn};

/// After a signal to stop, all goes on for so long; then there are no slots for further calls, and those out
/// may end; then no more is taken in, and what is owed is left to the next process. Together well before a
/// machine that is put down kills what still runs.
const STILL_CALLING: Span = Span::from_millis(2_000);
const STILL_TAKING: Span = Span::from_millis(2_800);
const CLOSING: Span = Span::from_millis(3_100);

/// How far the stop has come.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stop {
    Calling,
    Taking,
    Closing,
}

impl Stop {
    fn ends_after(self) -> Span {
        match self {
            Stop::Calling => STILL_CALLING,
            Stop::Taking => STILL_TAKING,
            Stop::Closing => CLOSING,
        }
    }
}

struct Chain {
    /// Where the configuration is.
    config: PathBuf,
    fixed: Fixed,
    settings: juniperwing_settings::Settings,
    net: Net,
    discovery: Discovery,
    take_in: TakeIn,
    admit: Admit,
    route: Route,
    send: Send,
    book: Book,
    store: Store,
    /// Handed in in this turn and not answered yet: by whom. One that comes twice has one answer.
    fresh: BTreeMap<NotificationId, Vec<Token>>,
    taken_up: TakenUp,
    log: Logger,
}

/// What an earlier process took on and never pushed, and what has become of it.
#[derive(Default)]
struct TakenUp {
    untried: BTreeSet<NotificationId>,
    tried: usize,
    /// Ended with no push, out of time or not.
    late: usize,
    vain: usize,
}

/// Serves, over the folder that lasts, until a signal to stop comes and the stop that it asks for is done.
pub fn serve(config: Config, state: &Path, signals: Signals, log: Logger) -> io::Result<()> {
    let clock = Clock::new();
    let (clients, endpoints) = config.fixed.limits.shares();
    // First the address, so that no two processes share a folder.
    let net = Net::new(clock, config.fixed.listen, signals, clients)
        .map_err(|e| io::Error::new(e.kind(), format!("cannot listen on {}: {e}", config.fixed.listen)))?;
    let (store, torn) = Store::open(state, config.fixed.limits.disk_bytes())
        .map_err(|e| io::Error::new(e.kind(), format!("cannot open the log in {}: {e}", state.display())))?;
    if torn > 0 {
        warn!(log, "a torn tail of the log was cut off"; "bytes" => torn);
    }
    let settings = config.settings;
    let mut chain = Chain {
        config: config.path,
        net,
        discovery: Discovery::new(config.discovery),
        take_in: TakeIn::default(),
        admit: Admit::default(),
        route: Route::new(clock.now(), config.fixed.seed, &settings),
        send: Send::new(settings.connections, endpoints),
        book: Book::new(config.discovery),
        store,
        fresh: BTreeMap::new(),
        taken_up: TakenUp::default(),
        settings,
        log: log.new(o!("relay" => config.fixed.name.clone())),
        fixed: config.fixed,
    };
    chain.recollect(config.known, clock.now());
    chain.resume(clock.now());
    let listen = chain.net.local_addr().unwrap_or(chain.fixed.listen).to_string();
    let (owed, untried) = (chain.store.len(), chain.taken_up.untried.len());
    let heard = chain.store.live().filter(|(_, kept)| kept.taken.history.end.is_some()).count();
    info!(chain.log, "serving"; "listen" => listen, "owed" => owed, "untried" => untried,
        "tried" => owed - untried - heard);
    chain.run(clock)
}

impl Chain {
    fn run(&mut self, clock: Clock) -> io::Result<()> {
        let mut stop: Option<(Time, Stop)> = None;
        loop {
            let until = if self.send.has_ended() { Time::default() } else { self.route.due() };
            let next = stop.map_or(Time::NEVER, |(since, stage)| since + stage.ends_after());
            let turn = self.net.wait(until.min(self.book.due()).min(next));
            let now = clock.now();
            self.take_in.closing = stop.is_some_and(|(since, _)| since + STILL_TAKING <= now);
            for (token, role, what) in turn.happenings {
                // Guards against a time that is up in the turn in which what was waited for has come.
                if what != Happening::Due || self.net.is_overdue(token) {
                    self.happened(token, role, what, now);
                }
            }
            if turn.reload {
                self.reload(now);
            }
            self.outcomes(now);
            self.decide(now);
            for (ntf, zone) in self.send.write(&mut self.net, now) {
                self.store.pushed(ntf.0, now, &zone);
                self.taken_up(ntf, now);
            }
            self.store.flush()?;
            self.net.flush();
            if turn.stop && stop.is_none() {
                info!(self.log, "stopping"; "owed" => self.store.len(), "calls" => self.send.out());
                self.take_in.stopping = true;
                stop = Some((now, Stop::Calling));
            }
            let Some((since, stage)) = &mut stop else { continue };
            let due = *since + stage.ends_after() <= now;
            match stage {
                Stop::Calling if due => {
                    *stage = Stop::Taking;
                    info!(self.log, "no further calls"; "calls" => self.send.out());
                    self.route.tell(Event::SlotLimitChanged(0));
                }
                Stop::Taking if due => {
                    *stage = Stop::Closing;
                    self.net.stop_listening();
                }
                // What is out may still end, and is no doubt of the next process then.
                Stop::Closing if self.take_in.close_idle(&mut self.net) && self.send.out() == 0 || due => {
                    self.net.flush();
                    info!(self.log, "stopped"; "owed" => self.store.len(), "calls" => self.send.out());
                    return Ok(());
                }
                _ => {}
            }
        }
    }

    /// Reads the configuration anew. Settings and where discovery is take effect at once; what was taken on keeps
    /// its effect and its time, and calls, waits, drains and returns under way go on as they are.
    fn reload(&mut self, now: Time) {
        let config = match Config::read(Some(self.config.clone())) {
            Ok(config) => config,
            // Guards against a file that is half written or wrong: what was read before holds.
            Err(e) => return warn!(self.log, "the new configuration cannot be used"; "why" => e.to_string()),
        };
        let held = self.store.live().map(|(_, kept)| kept.taken.words.topic.as_str());
        if let Some(why) = self.settings.bars(&config.settings, held, self.discovery.kinds()) {
            return warn!(self.log, "the new configuration cannot be used"; "why" => why);
        }
        let fixed = self.fixed.differs(&config.fixed);
        if !fixed.is_empty() {
            warn!(self.log, "changes that wait for the next start"; "keys" => fixed.join(", "));
        }
        info!(self.log, "configuration read anew"; "discovery" => config.discovery.to_string(),
            "settings" => config.settings.to_string());
        self.settings = config.settings;
        self.send.adopt(&mut self.net, self.settings.connections);
        self.route.tell(Event::ConfigChanged(self.settings.relay_config.clone()));
        self.route.tell(Event::EndpointListUpdated(self.discovery.reread(&self.settings)));
        if config.discovery == self.discovery.address {
            return;
        }
        self.book.moves(&mut self.net, config.discovery, now);
        if !self.discovery.moves(&mut self.net, config.discovery, now) {
            self.lost_watch("cannot be opened");
        }
    }

    /// Tells the core what an earlier process took on and still owes, in the order taken.
    fn resume(&mut self, now: Time) {
        let mut owed = Vec::new();
        for (n, kept) in self.store.live() {
            let (taken, history) = (&kept.taken, &kept.taken.history);
            if history.end.is_some() {
                self.book.owe(n);
            }
            // A push that was out when the process ended may have run, and may do so still.
            let ran = history.ran.as_ref().or(history.out.as_ref());
            let past = NotificationHistory {
                push_count: history.pushes,
                first_possible_run: ran.map(|(at, zone)| PossibleRun {
                    sent_at: Time::from_nanos(*at),
                    zone: Arc::from(zone.as_str()),
                }),
                last_doubtful_end: if history.out.is_some() {
                    Some(now)
                } else {
                    history.doubt.map(Time::from_nanos)
                },
                has_final_answer: history.end.is_some(),
                is_recovered: true,
            };
            if history.pushes == 0 && history.end.is_none() {
                self.taken_up.untried.insert(NotificationId(n));
            }
            // Guards against a topic type that the settings lack since: what was promised holds, and it is tried.
            let lacking = || Arc::new(TopicType { name: taken.words.topic.clone(), ..TopicType::default() });
            let topic = self.settings.topic_type(&taken.words.topic);
            let topic = match taken.kept {
                Some(kept) => Some(Arc::new(kept.keep(&topic.unwrap_or_else(lacking)))),
                None => topic,
            };
            let notification = topic.map(|topic| self.notification(n, taken, topic, past));
            owed.push((n, history.out.is_some(), notification));
        }
        for (n, out, notification) in owed {
            if out {
                self.store.returned(n, true, Some(now));
            }
            match notification {
                Some(notification) => self.route.tell(Event::Accepted(notification)),
                // In a log that is older than promises: nobody here knows how to treat it any more.
                None => self.end(NotificationId(n), End::GivenUp, now),
            }
        }
    }

    /// Counts what became of a notification that an earlier process left untried, once it has gone out or ended.
    fn taken_up(&mut self, ntf: NotificationId, now: Time) {
        let up = &mut self.taken_up;
        if !up.untried.remove(&ntf) {
            return;
        }
        match self.store.get(ntf.0).map(|kept| &kept.taken) {
            Some(taken) if taken.history.end.is_none() => up.tried += 1,
            Some(taken) if taken.valid_until > now.since(Time::default()).as_nanos() => up.vain += 1,
            _ => up.late += 1,
        }
        if up.untried.is_empty() {
            info!(self.log, "all that was taken up untried was tried or has ended"; "tried" => up.tried,
                "out of time" => up.late, "given up" => up.vain);
        }
    }

    fn notification(
        &self, n: u64, taken: &Taken, topic: Arc<TopicType>, past: NotificationHistory,
    ) -> Notification {
        Notification {
            id: NotificationId(n),
            destination: DestinationId(taken.words.destination),
            topic,
            account: taken.words.account.as_ref().and_then(|name| self.settings.account(name)),
            key: taken.words.key.clone(),
            valid_until: Time::from_nanos(taken.valid_until),
            history: past,
        }
    }

    fn happened(&mut self, token: Token, role: Role, what: Happening, now: Time) {
        match role {
            Role::Client => {
                if let Some(handed_in) = self.take_in.happened(&mut self.net, token, what, now) {
                    self.hand_in(token, handed_in, now);
                }
            }
            Role::Endpoint => self.send.happened(&mut self.net, token, what, &self.settings, now),
            Role::Watch => {
                let brought = self.discovery.happened(&mut self.net, token, what, now);
                // Word that nothing has changed is news too: the watch is well.
                if brought.heard && brought.lists.is_empty() {
                    self.route.tell(Event::EndpointListUpdated(EndpointListUpdate::Changes(Vec::new())));
                }
                brought.lists.into_iter().for_each(|list| self.learn(list, now));
                brought.broken.into_iter().for_each(|why| self.lost_watch(why));
            }
            Role::Notices => {
                let heard = self.book.happened(&mut self.net, token, what, now);
                if let Some(n) = heard.unreadable {
                    let id = self.store.get(n).map(|kept| kept.taken.words.id.clone());
                    warn!(self.log, "a notice was refused as unreadable"; "id" => id);
                }
                heard.heard.into_iter().chain(heard.unreadable).for_each(|n| self.heard(NotificationId(n)));
            }
        }
    }

    /// Takes in the list as an earlier process held it.
    fn recollect(&mut self, list: List, now: Time) {
        let learnt = self.discovery.learn(list, &self.settings, now);
        self.say_nowhere(&learnt.nowhere);
        if let EndpointListUpdate::Snapshot(entries) | EndpointListUpdate::Changes(entries) = learnt.news {
            self.route.tell(Event::EndpointListUpdated(EndpointListUpdate::CachedSnapshot(entries)));
        }
    }

    fn say_nowhere(&self, endpoints: &[EndpointId]) {
        for endpoint in endpoints {
            warn!(self.log, "the list has no address that can be read"; "endpoint" => &*endpoint.0);
        }
    }

    fn learn(&mut self, list: List, now: Time) {
        let Learnt { news, left, nowhere } = self.discovery.learn(list, &self.settings, now);
        self.say_nowhere(&nowhere);
        if let EndpointListUpdate::Changes(entries) | EndpointListUpdate::Snapshot(entries) = &news {
            debug!(self.log, "the list has news"; "entries" => entries.len(), "left" => left.len());
        }
        left.iter().for_each(|endpoint| self.send.left(&mut self.net, endpoint, now));
        self.route.tell(Event::EndpointListUpdated(news));
    }

    fn lost_watch(&mut self, why: &str) {
        info!(self.log, "the watch on the list broke"; "why" => why);
        self.route.tell(Event::EndpointListUpdated(EndpointListUpdate::Failed));
    }

    fn hand_in(&mut self, token: Token, handed_in: HandedIn, now: Time) {
        // Guards against an id that comes twice in a turn: it is on record, and may be refused all the same.
        if self.store.holds(&handed_in.words.id) {
            let held = |ntf: &NotificationId| self.store.get(ntf.0).map(|kept| &kept.taken.words.id);
            let same = |ntf: &NotificationId| held(ntf) == Some(&handed_in.words.id);
            if let Some((_, tokens)) = self.fresh.iter_mut().find(|(ntf, _)| same(ntf)) {
                return tokens.push(token);
            }
        }
        let topic = match self.admit.admit(&handed_in, &self.settings, &self.store, &self.discovery) {
            Ok(topic) => topic,
            Err(answer) => {
                debug!(self.log, "not taken on"; "id" => &handed_in.words.id, "answer" => format!("{answer:?}"));
                if answer == Answer::Unavailable {
                    self.admit.answered(&handed_in.words.id, answer);
                }
                return self.take_in.answer(&mut self.net, token, answer);
            }
        };
        // Guards against times to live without end: nothing is held longer than its topic type may be.
        let longest = if topic.ttl > Span::ZERO { topic.ttl } else { handed_in.time_left };
        let time_left = handed_in.time_left.min(longest);
        let n = self.store.take(handed_in.words, now + time_left, Promise::from(&*topic), handed_in.body);
        let Some(kept) = self.store.get(n) else { return };
        debug!(self.log, "taken on"; "id" => &kept.taken.words.id, "n" => n,
            "dest" => kept.taken.words.destination, "topic" => &kept.taken.words.topic);
        let notification = self.notification(n, &kept.taken, topic, NotificationHistory::default());
        self.fresh.insert(NotificationId(n), vec![token]);
        self.route.tell(Event::Accepted(notification));
    }

    /// Tells the core how pushes and probes ended.
    fn outcomes(&mut self, now: Time) {
        for (endpoint, wait) in self.send.take_told() {
            debug!(self.log, "a wait was told"; "endpoint" => &*endpoint.0, "ms" => wait.as_nanos() / 1_000_000);
            self.route.tell(Event::RetryAfterReported { endpoint, retry_after: wait });
        }
        for ended in self.send.take_ended() {
            let Ended { ntf, push, endpoint, fate, spent, wait, limit } = ended;
            let status = fate.status;
            let Some(ntf) = ntf else {
                self.route.tell(Event::ProbeEnded { endpoint, status, rate_limit: limit });
                continue;
            };
            debug!(self.log, "push ended"; "n" => ntf.0, "push" => push, "endpoint" => &*endpoint.0,
                "status" => format!("{status:?}"), "ms" => spent.as_nanos() / 1_000_000,
                "left" => limit.map(|limit| limit.remaining_fraction), "rate" => limit.map(|limit| limit.rate_per_second));
            self.store.returned(ntf.0, status.may_have_run(), status.may_be_running().then_some(now));
            if fate.over {
                self.forget(ntf);
            }
            let settled = self.store.get(ntf.0).is_none_or(|kept| kept.taken.history.end.is_some());
            let outcome = PushOutcome {
                notification: ntf,
                push_index: push,
                endpoint,
                status,
                elapsed: spent,
                has_final_answer: settled,
                retry_after: wait,
                rate_limit: limit,
            };
            self.route.tell(Event::PushEnded(outcome));
        }
    }

    /// Has the core decide, and carries out what it commands, in order.
    fn decide(&mut self, now: Time) {
        let commands = self.route.decide(now);
        let mut rest = commands.as_slice();
        while let Some((command, later)) = rest.split_first() {
            rest = later;
            match command {
                Command::Push { endpoint, .. } => {
                    let same = |c: &&Command| matches!(c, Command::Push { endpoint: e, .. } if e == endpoint);
                    let more = later.iter().take_while(same).count();
                    let pushes: Vec<(NotificationId, Span, Span)> =
                        std::iter::once(command).chain(&later[..more]).filter_map(push).collect();
                    rest = &later[more..];
                    self.push(endpoint, &pushes, now);
                }
                Command::Cancel { notification, push_index } => {
                    self.send.cancel(&mut self.net, *notification, *push_index, now)
                }
                Command::Throttle { notification, retry_after } => {
                    if let Some(tokens) = self.fresh.remove(notification) {
                        self.answer(tokens, *notification, Answer::Throttled(*retry_after));
                        self.heard(*notification);
                    } else {
                        self.end(*notification, End::HandedBack(retry_after.as_nanos() / 1_000_000), now);
                    }
                }
                Command::Expire(ntf) => {
                    if let Some(tokens) = self.fresh.remove(ntf) {
                        self.answer(tokens, *ntf, Answer::Expired);
                        self.heard(*ntf);
                    } else {
                        self.end(*ntf, End::GivenUp, now);
                    }
                }
                Command::WakeAfter(_) => {}
                Command::SubscribeToEndpointList => {
                    if !self.discovery.subscribe(&mut self.net, now) {
                        self.lost_watch("cannot be opened");
                    }
                }
                Command::Probe(endpoint) => {
                    self.send.probe(&mut self.net, endpoint, self.discovery.place(endpoint), now);
                }
                Command::CloseIdleConnections(endpoint) => self.send.close_idle(&mut self.net, endpoint),
                Command::CancelUnsent(endpoint) => self.send.recall(&mut self.net, endpoint, now),
                Command::Log(line) => info!(self.log, "{}", line),
            }
        }
        for (ntf, tokens) in std::mem::take(&mut self.fresh) {
            self.answer(tokens, ntf, Answer::Accepted);
        }
        self.book.write(&mut self.net, &self.store, now);
    }

    fn answer(&mut self, tokens: Vec<Token>, ntf: NotificationId, answer: Answer) {
        if let Some(kept) = self.store.get(ntf.0) {
            self.admit.answered(&kept.taken.words.id, answer);
        }
        tokens.into_iter().for_each(|token| self.take_in.answer(&mut self.net, token, answer));
    }

    fn push(&mut self, endpoint: &EndpointId, pushes: &[(NotificationId, Span, Span)], now: Time) {
        let place = self.discovery.place(endpoint);
        let numbers: Vec<_> = pushes.iter().map(|(ntf, ..)| self.store.chosen(ntf.0)).collect();
        let outgoing = pushes.iter().zip(numbers).filter_map(|((ntf, time_out, send_within), number)| {
            let kept = self.store.get(ntf.0)?;
            let left = Time::from_nanos(kept.taken.valid_until).since(now);
            Some(Push {
                ntf: *ntf,
                id: &kept.taken.words.id,
                idempotency_key: kept.taken.words.idempotency_key.as_deref(),
                body: &kept.body,
                push: number?,
                ordered: kept.taken.words.key.is_some()
                    && kept.taken.kept.map_or_else(
                        || {
                            self.settings
                                .topic_type(&kept.taken.words.topic)
                                .is_some_and(|topic| topic.is_ordered)
                        },
                        |kept| kept.ordered,
                    ),
                time_out: (*time_out).min(left),
                send_within: *send_within,
            })
        });
        let outgoing: Vec<Push<'_>> = outgoing.collect();
        debug!(self.log, "push"; "endpoint" => &*endpoint.0,
            "n" => format!("{:?}", pushes.iter().map(|push| push.0.0).collect::<Vec<_>>()));
        self.send.push(&mut self.net, endpoint, place, &outgoing, now);
    }

    /// Not delivered: its client is told by a notice.
    fn end(&mut self, ntf: NotificationId, end: End, now: Time) {
        self.store.ended(ntf.0, end);
        self.taken_up(ntf, now);
        if let Some(kept) = self.store.get(ntf.0) {
            debug!(self.log, "ended"; "id" => &kept.taken.words.id, "n" => ntf.0, "end" => format!("{end:?}"));
            self.book.owe(ntf.0);
        }
    }

    /// The client has heard of the end: nothing more is owed.
    fn heard(&mut self, ntf: NotificationId) {
        debug!(self.log, "end heard"; "n" => ntf.0);
        self.forget(ntf);
        self.route.tell(Event::FinalAnswerAcknowledged(ntf));
    }

    fn forget(&mut self, ntf: NotificationId) {
        self.send.forget(ntf);
        if self.store.get(ntf.0).is_some() {
            self.store.over(ntf.0);
        }
    }
}

fn push(command: &Command) -> Option<(NotificationId, Span, Span)> {
    match command {
        Command::Push { notification, timeout, send_within, .. } => {
            Some((*notification, *timeout, *send_within))
        }
        _ => None,
    }
}
