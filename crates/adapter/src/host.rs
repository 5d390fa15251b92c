//! Hosts relays and processes batches of events for them.

use std::collections::{BTreeMap, BTreeSet};

use juniperwing::Relay;
use juniperwing::interface::{Command, Event};
use juniperwing::time::Time;
use juniperwing_settings::Settings;
use serde_json::value::RawValue;
use snafu::ResultExt;

use crate::commands::to_wire;
use crate::error::{AdapterError, NotABatchSnafu, ReplySnafu};
use crate::events::{Bank, list_entry, parse, to_event};
use crate::wire;

/// A relay and its events in the current batch.
struct HostedRelay {
    relay: Relay,
    settings: Settings,
    events: Vec<Event>,
}

/// The hosted relays by name, and the banks by number.
#[derive(Default)]
pub(crate) struct Host {
    relays: BTreeMap<String, HostedRelay>,
    banks: BTreeMap<usize, Bank>,
}

impl Host {
    /// Handles one batch and returns the reply. Commands are ordered by the first mention of their relay in the batch.
    pub(crate) fn handle_batch(&mut self, text: &str) -> Result<String, AdapterError> {
        let batch: wire::Batch = serde_json::from_str(text).context(NotABatchSnafu)?;
        let now = Time::from_nanos(batch.now_ns);
        let (mut relays, mut seen) = (Vec::new(), BTreeSet::new());
        for event in batch.events {
            let head: wire::Head = parse("event", event)?;
            self.handle_event(now, &head, event)?;
            if !head.relay.is_empty() && seen.insert(head.relay.clone()) {
                relays.push(head.relay);
            }
        }
        let mut commands = Vec::new();
        for name in &relays {
            if let Some(hosted) = self.relays.get_mut(&**name) {
                commands.extend(hosted.run(now).into_iter().map(|command| (&**name, command)));
            }
        }
        let cmds = commands.iter().filter_map(|(relay, command)| to_wire(relay, command)).collect();
        serde_json::to_string(&wire::Reply { cmds }).context(ReplySnafu)
    }

    fn handle_event(&mut self, now: Time, head: &wire::Head, event: &RawValue) -> Result<(), AdapterError> {
        match &*head.kind {
            "Spawn" => {
                let spawn: wire::Spawn = parse("Spawn", event)?;
                self.relays.insert(head.relay.clone().into_owned(), HostedRelay::new(now, &spawn));
            }
            "Kill" => {
                self.relays.remove(&*head.relay);
            }
            "Inventory" => {
                let inventory: wire::Inventory = parse("Inventory", event)?;
                let bank = inventory.records.into_iter().map(list_entry).collect();
                self.banks.insert(inventory.bank, bank);
            }
            kind => {
                if let Some(hosted) = self.relays.get_mut(&*head.relay) {
                    hosted.events.extend(to_event(kind, event, &hosted.settings, &self.banks)?);
                }
            }
        }
        Ok(())
    }
}

impl HostedRelay {
    fn new(now: Time, spawn: &wire::Spawn) -> Self {
        let settings = Settings::from(&spawn.settings);
        let relay = Relay::new(now, spawn.seed(), settings.relay_config.clone());
        HostedRelay { relay, settings, events: Vec::new() }
    }

    /// Passes the events of the batch to the relay. The protocol has no acknowledgements, so each final answer counts as
    /// acknowledged immediately.
    fn run(&mut self, now: Time) -> Vec<Command> {
        let mut commands = self.relay.handle(now, std::mem::take(&mut self.events));
        let mut acknowledged_count = 0;
        loop {
            let acknowledgements: Vec<Event> =
                commands[acknowledged_count..].iter().filter_map(acknowledgement).collect();
            if acknowledgements.is_empty() {
                return commands;
            }
            acknowledged_count = commands.len();
            commands.extend(self.relay.handle(now, acknowledgements));
        }
    }
}

/// The acknowledgement for a command that is a final answer.
fn acknowledgement(command: &Command) -> Option<Event> {
    match command {
        Command::Throttle { notification, .. } | Command::Expire(notification) => {
            Some(Event::FinalAnswerAcknowledged(*notification))
        }
        _ => None,
    }
}
