//! Owns the watch on discovery's list and where each endpoint is dialled. It must never decide when to ask
//! again: it says that a watch is broken, and the core subscribes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use juniperwing::interface::{DestinationId, EndpointEntry, EndpointId, EndpointListUpdate, Readiness};
use juniperwing::time::{Span, Time};
use juniperwing_settings::Settings;
use serde::Deserialize;

use crate::event_loop::{ConnectionEvent, Net, Role, Token};
use crate::http;

/// A watch that says nothing for so long is dead: it writes an empty line every 2 s while nothing changes.
const WATCH_TIMEOUT: Span = Span::from_millis(3_000);
/// The longest chunk or line of a watch.
const MAX_CHUNK_BYTES: usize = 4 * 1024 * 1024;

/// The list, or what changed in it, as discovery writes it.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EndpointList {
    seq: u64,
    #[serde(default)]
    whole: bool,
    hosts: Option<Vec<ListedHost>>,
}

#[derive(Clone, Debug, Deserialize)]
struct ListedHost {
    host: String,
    #[serde(default)]
    dial: String,
    #[serde(default)]
    site: String,
    #[serde(default)]
    class: String,
    block: u64,
    #[serde(default)]
    health: String,
    #[serde(default)]
    share: f64,
}

/// Where an endpoint is, and how it may be called.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownEndpoint {
    pub address: SocketAddr,
    /// As the core was told of it.
    entry: EndpointEntry,
}

impl KnownEndpoint {
    pub fn zone(&self) -> Arc<str> {
        self.entry.zone.clone()
    }

    /// Most notifications in one call.
    pub fn max_notifications_per_call(&self) -> usize {
        self.entry.kind.max_notifications_per_call.max(1)
    }
}

/// What came of a list.
pub struct ListChange {
    pub update: EndpointListUpdate,
    /// Their idle connections are of no use any more.
    pub withdrawn: Vec<EndpointId>,
    /// Their addresses cannot be read.
    pub without_address: Vec<EndpointId>,
}

struct Watch {
    token: Token,
    /// Whether the head of the answer has come.
    has_head: bool,
    /// Whether a list has come, or word that nothing has changed.
    has_message: bool,
    buffer: Vec<u8>,
}

pub struct Discovery {
    pub address: SocketAddr,
    list_version: u64,
    watch: Option<Watch>,
    /// The core has asked for a watch.
    is_watch_requested: bool,
    /// A watch has told something, so that what is held is no longer an earlier process's.
    has_received_message: bool,
    endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    /// Destinations that have endpoints on the list, and when one that has none any more may be forgotten.
    destinations: BTreeMap<DestinationId, Time>,
}

impl Discovery {
    pub fn new(address: SocketAddr) -> Discovery {
        Discovery {
            address,
            list_version: 0,
            watch: None,
            is_watch_requested: false,
            has_received_message: false,
            endpoints: BTreeMap::new(),
            destinations: BTreeMap::new(),
        }
    }

    /// Whether a destination has endpoints, or had some so lately that they may be about to be replaced.
    pub fn is_known_destination(&self, destination: DestinationId) -> bool {
        self.destinations.contains_key(&destination)
    }

    /// Whether the list is as discovery tells it now.
    pub fn is_current(&self) -> bool {
        self.watch.as_ref().is_some_and(|watch| watch.has_message)
    }

    pub fn endpoint(&self, endpoint: &EndpointId) -> Option<&KnownEndpoint> {
        self.endpoints.get(endpoint)
    }

    /// Takes in a list.
    pub fn apply_list(&mut self, list: EndpointList, settings: &Settings, now: Time) -> ListChange {
        self.list_version = list.seq;
        let before = if list.whole { std::mem::take(&mut self.endpoints) } else { self.endpoints.clone() };
        let hosts = list.hosts.unwrap_or_default();
        let (mut entries, mut nowhere) = (Vec::with_capacity(hosts.len()), Vec::new());
        for host in hosts {
            let dial = host.dial.parse().ok();
            let entry = EndpointEntry {
                endpoint: EndpointId(Arc::from(host.host)),
                destination: DestinationId(host.block),
                kind: settings.kind(&host.class),
                zone: Arc::from(host.site),
                readiness: match host.health.as_str() {
                    "draining" => Readiness::Draining,
                    "gone" => Readiness::Deleted,
                    // Guards against pushes used up on one that nobody can reach: what it would get is held.
                    _ if dial.is_none() => Readiness::Deleted,
                    _ => Readiness::Serving,
                },
                rate_per_second: host.share,
            };
            self.endpoints.remove(&entry.endpoint);
            if dial.is_none() && host.health != "gone" {
                nowhere.push(entry.endpoint.clone());
            }
            if let Some(dial) = dial.filter(|_| entry.readiness != Readiness::Deleted) {
                self.endpoints
                    .insert(entry.endpoint.clone(), KnownEndpoint { address: dial, entry: entry.clone() });
            }
            entries.push(entry);
        }
        let has_left = |id: &EndpointId, old: &KnownEndpoint| {
            self.endpoints.get(id).is_none_or(|now| {
                let moved = now.address != old.address || now.entry.destination != old.entry.destination;
                moved || now.entry.readiness != Readiness::Serving
            })
        };
        let left = before.iter().filter(|(id, old)| has_left(id, old)).map(|(id, _)| id.clone()).collect();
        let forget = now + settings.max_ttl();
        self.destinations.extend(before.values().map(|place| (place.entry.destination, forget)));
        self.destinations.extend(self.endpoints.values().map(|place| (place.entry.destination, Time::NEVER)));
        self.destinations.retain(|_, until| *until > now);
        let news = if list.whole {
            EndpointListUpdate::Snapshot(entries)
        } else {
            EndpointListUpdate::Changes(entries)
        };
        ListChange { update: news, withdrawn: left, without_address: nowhere }
    }

    /// The kinds of the endpoints on the list.
    pub fn kinds(&self) -> impl Iterator<Item = &str> {
        self.endpoints.values().map(|place| place.entry.kind.name.as_str())
    }

    /// Reads the kinds on the list anew, by other settings. Gives the news of it for the core.
    pub fn apply_settings(&mut self, settings: &Settings) -> EndpointListUpdate {
        for place in self.endpoints.values_mut() {
            place.entry.kind = settings.kind(&place.entry.kind.name);
        }
        let entries = self.endpoints.values().map(|place| place.entry.clone()).collect();
        if self.has_received_message {
            EndpointListUpdate::Changes(entries)
        } else {
            EndpointListUpdate::CachedSnapshot(entries)
        }
    }

    /// Opens a watch, in place of one that is open. Says whether that could be begun.
    pub fn subscribe(&mut self, net: &mut Net, now: Time) -> bool {
        self.is_watch_requested = true;
        if let Some(old) = self.watch.take() {
            net.close(old.token);
        }
        let Ok(token) = net.open(self.address, Role::Watch) else { return false };
        let target = format!("GET /v1/endpoints?stream=1&index={} HTTP/1.1", self.list_version);
        net.write(token, &http::encode_message(&target, &[("Host", &self.address.to_string())], b""));
        net.set_deadline(token, now + WATCH_TIMEOUT);
        self.watch = Some(Watch { token, has_head: false, has_message: false, buffer: Vec::new() });
        true
    }

    /// Discovery is at another address from now on. A watch that the core wants goes there at once, from the version
    /// held. Says whether it could be begun.
    pub fn change_address(&mut self, net: &mut Net, to: SocketAddr, now: Time) -> bool {
        self.address = to;
        !self.is_watch_requested || self.subscribe(net, now)
    }

    /// Reads what a watch brings: news in order, and then that it broke, if it did.
    pub fn handle_connection_event(
        &mut self, net: &mut Net, token: Token, what: ConnectionEvent, now: Time,
    ) -> WatchMessages {
        let mut brought = WatchMessages::default();
        let Some(watch) = self.watch.as_mut().filter(|watch| watch.token == token) else { return brought };
        match what {
            ConnectionEvent::Connected => return brought,
            ConnectionEvent::DeadlineReached => brought.failure = Some("silent"),
            ConnectionEvent::PeerClosed if !net.is_connected(token) => {
                brought.failure = Some("cannot be reached")
            }
            _ => {
                let begun = watch.has_head;
                brought = watch.read(net);
                self.has_received_message |= brought.has_message;
                // Guards against one that keeps itself alive by pieces of lines, and tells nothing.
                if brought.has_message || watch.has_head != begun {
                    net.set_deadline(token, now + WATCH_TIMEOUT);
                }
                if what == ConnectionEvent::PeerClosed && brought.failure.is_none() {
                    brought.failure = Some("ended");
                }
            }
        }
        if brought.failure.is_some() {
            self.watch = None;
            net.close(token);
        }
        brought
    }
}

/// What a watch brought.
#[derive(Default)]
pub struct WatchMessages {
    pub lists: Vec<EndpointList>,
    /// A list, or word that nothing has changed.
    pub has_message: bool,
    /// Why there will be no more.
    pub failure: Option<&'static str>,
}

impl Watch {
    fn read(&mut self, net: &mut Net) -> WatchMessages {
        let mut brought = WatchMessages::default();
        brought.failure = self.read_chunks(net, &mut brought).err();
        self.has_message |= brought.has_message;
        brought
    }

    fn read_chunks(&mut self, net: &mut Net, brought: &mut WatchMessages) -> Result<(), &'static str> {
        let Some(input) = net.input(self.token) else { return Err("closed") };
        if !self.has_head {
            match http::parse_response_head(input) {
                Ok(None) => return Ok(()),
                Ok(Some(head)) if head.status == 200 => drop(input.drain(..head.body_start)),
                Ok(Some(_)) => return Err("refused"),
                Err(_) => return Err("unreadable"),
            }
            self.has_head = true;
        }
        let (mut at, mut end) = (0, None);
        loop {
            match http::parse_chunk(&input[at..], MAX_CHUNK_BYTES) {
                Ok(Some((data, next))) => {
                    self.buffer.extend_from_slice(&input[at..][data.clone()]);
                    at += next;
                    if data.is_empty() {
                        end = Some("ended");
                        break;
                    }
                }
                Ok(None) => break,
                Err(_) => {
                    end = Some("unreadable");
                    break;
                }
            }
        }
        input.drain(..at);
        // What came before an end, or before what cannot be read, still counts.
        let read = self.parse_lists(brought);
        let long = if self.buffer.len() > MAX_CHUNK_BYTES { Err("too long") } else { Ok(()) };
        read.and(long).and(end.map_or(Ok(()), Err))
    }

    /// Takes the lists that are whole out of the text. Each may stand on one line or on several.
    fn parse_lists(&mut self, brought: &mut WatchMessages) -> Result<(), &'static str> {
        loop {
            let blank = self.buffer.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
            brought.has_message |= self.buffer.drain(..blank).any(|byte| byte == b'\n');
            if self.buffer.is_empty() {
                return Ok(());
            }
            let mut values = serde_json::Deserializer::from_slice(&self.buffer).into_iter();
            match values.next() {
                // Guards against one that would empty the list held: it says that it is whole, and names nothing.
                Some(Ok(EndpointList { whole: true, hosts: None, .. })) => return Err("unreadable"),
                Some(Ok(list)) => {
                    brought.lists.push(list);
                    brought.has_message = true;
                    let length = values.byte_offset();
                    self.buffer.drain(..length);
                }
                Some(Err(e)) if !e.is_eof() => return Err("unreadable"),
                _ => return Ok(()),
            }
        }
    }
}
