//! Owns the watch on discovery's list and where each endpoint is dialled. It must never decide when to ask
//! again: it says that a watch is broken, and the core subscribes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use juniperwing::interface::{DestinationId, EndpointEntry, EndpointId, EndpointListUpdate, Readiness};
use juniperwing::time::{Span, Time};
use juniperwing_settings::Settings;
use serde::Deserialize;

use crate::event_loop::{Happening, Net, Role, Token};
use crate::http;

/// A watch that says nothing for so long is dead: it writes an empty line every 2 s while nothing changes.
const SILENT: Span = Span::from_millis(3_000);
/// The longest chunk or line of a watch.
const LINE_MOST: usize = 4 * 1024 * 1024;

/// The list, or what changed in it, as discovery writes it.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct List {
    seq: u64,
    #[serde(default)]
    whole: bool,
    hosts: Option<Vec<Host>>,
}

#[derive(Clone, Debug, Deserialize)]
struct Host {
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
pub struct Place {
    pub dial: SocketAddr,
    /// As the core was told of it.
    entry: EndpointEntry,
}

impl Place {
    pub fn zone(&self) -> Arc<str> {
        self.entry.zone.clone()
    }

    /// Most notifications in one call.
    pub fn per_call(&self) -> usize {
        self.entry.kind.max_notifications_per_call.max(1)
    }
}

/// What came of a list.
pub struct Learnt {
    pub news: EndpointListUpdate,
    /// Their idle connections are of no use any more.
    pub left: Vec<EndpointId>,
    /// Their addresses cannot be read.
    pub nowhere: Vec<EndpointId>,
}

struct Watch {
    token: Token,
    /// Whether the head of the answer has come.
    begun: bool,
    /// Whether a list has come, or word that nothing has changed.
    told: bool,
    text: Vec<u8>,
}

pub struct Discovery {
    pub address: SocketAddr,
    seq: u64,
    watch: Option<Watch>,
    /// The core has asked for a watch.
    wanted: bool,
    /// A watch has told something, so that what is held is no longer an earlier process's.
    spoken: bool,
    places: BTreeMap<EndpointId, Place>,
    /// Destinations that have endpoints on the list, and when one that has none any more may be forgotten.
    destinations: BTreeMap<DestinationId, Time>,
}

impl Discovery {
    pub fn new(address: SocketAddr) -> Discovery {
        Discovery {
            address,
            seq: 0,
            watch: None,
            wanted: false,
            spoken: false,
            places: BTreeMap::new(),
            destinations: BTreeMap::new(),
        }
    }

    /// Whether a destination has endpoints, or had some so lately that they may be about to be replaced.
    pub fn knows(&self, destination: DestinationId) -> bool {
        self.destinations.contains_key(&destination)
    }

    /// Whether the list is as discovery tells it now.
    pub fn is_current(&self) -> bool {
        self.watch.as_ref().is_some_and(|watch| watch.told)
    }

    pub fn place(&self, endpoint: &EndpointId) -> Option<&Place> {
        self.places.get(endpoint)
    }

    /// Takes in a list.
    pub fn learn(&mut self, list: List, settings: &Settings, now: Time) -> Learnt {
        self.seq = list.seq;
        let before = if list.whole { std::mem::take(&mut self.places) } else { self.places.clone() };
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
            self.places.remove(&entry.endpoint);
            if dial.is_none() && host.health != "gone" {
                nowhere.push(entry.endpoint.clone());
            }
            if let Some(dial) = dial.filter(|_| entry.readiness != Readiness::Deleted) {
                self.places.insert(entry.endpoint.clone(), Place { dial, entry: entry.clone() });
            }
            entries.push(entry);
        }
        let has_left = |id: &EndpointId, old: &Place| {
            self.places.get(id).is_none_or(|now| {
                let moved = now.dial != old.dial || now.entry.destination != old.entry.destination;
                moved || now.entry.readiness != Readiness::Serving
            })
        };
        let left = before.iter().filter(|(id, old)| has_left(id, old)).map(|(id, _)| id.clone()).collect();
        let forget = now + settings.max_ttl();
        self.destinations.extend(before.values().map(|place| (place.entry.destination, forget)));
        self.destinations.extend(self.places.values().map(|place| (place.entry.destination, Time::NEVER)));
        self.destinations.retain(|_, until| *until > now);
        let news = if list.whole {
            EndpointListUpdate::Snapshot(entries)
        } else {
            EndpointListUpdate::Changes(entries)
        };
        Learnt { news, left, nowhere }
    }

    /// The kinds of the endpoints on the list.
    pub fn kinds(&self) -> impl Iterator<Item = &str> {
        self.places.values().map(|place| place.entry.kind.name.as_str())
    }

    /// Reads the kinds on the list anew, by other settings. Gives the news of it for the core.
    pub fn reread(&mut self, settings: &Settings) -> EndpointListUpdate {
        for place in self.places.values_mut() {
            place.entry.kind = settings.kind(&place.entry.kind.name);
        }
        let entries = self.places.values().map(|place| place.entry.clone()).collect();
        if self.spoken {
            EndpointListUpdate::Changes(entries)
        } else {
            EndpointListUpdate::CachedSnapshot(entries)
        }
    }

    /// Opens a watch, in place of one that is open. Says whether that could be begun.
    pub fn subscribe(&mut self, net: &mut Net, now: Time) -> bool {
        self.wanted = true;
        if let Some(old) = self.watch.take() {
            net.close(old.token);
        }
        let Ok(token) = net.open(self.address, Role::Watch) else { return false };
        let target = format!("GET /v1/endpoints?stream=1&index={} HTTP/1.1", self.seq);
        net.write(token, &http::message(&target, &[("Host", &self.address.to_string())], b""));
        net.due(token, now + SILENT);
        self.watch = Some(Watch { token, begun: false, told: false, text: Vec::new() });
        true
    }

    /// Discovery is at another address from now on. A watch that the core wants goes there at once, from the version
    /// held. Says whether it could be begun.
    pub fn moves(&mut self, net: &mut Net, to: SocketAddr, now: Time) -> bool {
        self.address = to;
        !self.wanted || self.subscribe(net, now)
    }

    /// Reads what a watch brings: news in order, and then that it broke, if it did.
    pub fn happened(&mut self, net: &mut Net, token: Token, what: Happening, now: Time) -> Brought {
        let mut brought = Brought::default();
        let Some(watch) = self.watch.as_mut().filter(|watch| watch.token == token) else { return brought };
        match what {
            Happening::Up => return brought,
            Happening::Due => brought.broken = Some("silent"),
            Happening::Ended if !net.connected(token) => brought.broken = Some("cannot be reached"),
            _ => {
                let begun = watch.begun;
                brought = watch.read(net);
                self.spoken |= brought.heard;
                // Guards against one that keeps itself alive by pieces of lines, and tells nothing.
                if brought.heard || watch.begun != begun {
                    net.due(token, now + SILENT);
                }
                if what == Happening::Ended && brought.broken.is_none() {
                    brought.broken = Some("ended");
                }
            }
        }
        if brought.broken.is_some() {
            self.watch = None;
            net.close(token);
        }
        brought
    }
}

/// What a watch brought.
#[derive(Default)]
pub struct Brought {
    pub lists: Vec<List>,
    /// A list, or word that nothing has changed.
    pub heard: bool,
    /// Why there will be no more.
    pub broken: Option<&'static str>,
}

impl Watch {
    fn read(&mut self, net: &mut Net) -> Brought {
        let mut brought = Brought::default();
        brought.broken = self.take(net, &mut brought).err();
        self.told |= brought.heard;
        brought
    }

    fn take(&mut self, net: &mut Net, brought: &mut Brought) -> Result<(), &'static str> {
        let Some(input) = net.input(self.token) else { return Err("closed") };
        if !self.begun {
            match http::response_head(input) {
                Ok(None) => return Ok(()),
                Ok(Some(head)) if head.status == 200 => drop(input.drain(..head.start)),
                Ok(Some(_)) => return Err("refused"),
                Err(_) => return Err("unreadable"),
            }
            self.begun = true;
        }
        let (mut at, mut end) = (0, None);
        loop {
            match http::chunk(&input[at..], LINE_MOST) {
                Ok(Some((data, next))) => {
                    self.text.extend_from_slice(&input[at..][data.clone()]);
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
        let read = self.lists(brought);
        let long = if self.text.len() > LINE_MOST { Err("too long") } else { Ok(()) };
        read.and(long).and(end.map_or(Ok(()), Err))
    }

    /// Takes the lists that are whole out of the text. Each may stand on one line or on several.
    fn lists(&mut self, brought: &mut Brought) -> Result<(), &'static str> {
        loop {
            let blank = self.text.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
            brought.heard |= self.text.drain(..blank).any(|byte| byte == b'\n');
            if self.text.is_empty() {
                return Ok(());
            }
            let mut values = serde_json::Deserializer::from_slice(&self.text).into_iter();
            match values.next() {
                // Guards against one that would empty the list held: it says that it is whole, and names nothing.
                Some(Ok(List { whole: true, hosts: None, .. })) => return Err("unreadable"),
                Some(Ok(list)) => {
                    brought.lists.push(list);
                    brought.heard = true;
                    let length = values.byte_offset();
                    self.text.drain(..length);
                }
                Some(Err(e)) if !e.is_eof() => return Err("unreadable"),
                _ => return Ok(()),
            }
        }
    }
}
