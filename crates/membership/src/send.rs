//! Outgoing datagrams, with updates piggybacked on them.

use std::net::SocketAddr;

use crate::dissemination;
use crate::event::Command;
use crate::member::{MemberId, Record, Status};
use crate::membership::Membership;
use crate::wire::{DatagramBuilder, Message};

impl Membership {
    /// Sends a message with updates to a member; what it should refute goes first.
    pub(crate) fn send_to(&mut self, to: SocketAddr, member: &MemberId, message: &Message) {
        let held = self.table.get(member).filter(|held| held.status != Status::Alive).cloned();
        self.send(to, message, Vec::from_iter(held));
    }

    /// Sends a message with `first`, and as many updates as fit behind them.
    pub(crate) fn send(&mut self, to: SocketAddr, message: &Message, first: Vec<Record>) {
        let mut outgoing = DatagramBuilder::new(&self.local_record, message);
        let fits = first.iter().all(|record| outgoing.push(record));
        if fits {
            self.append_updates(&mut outgoing, &first);
        }
        self.commands.push(Command::Send { to, bytes: outgoing.into_bytes() });
    }

    /// Sends a message with these records and nothing else.
    pub(crate) fn send_bare(&mut self, to: SocketAddr, message: &Message, records: &[Record]) {
        let bytes = crate::wire::encode(&self.local_record, message, records);
        self.commands.push(Command::Send { to, bytes });
    }

    fn append_updates(&mut self, outgoing: &mut DatagramBuilder, already: &[Record]) {
        let mut sent = Vec::new();
        for id in self.dissemination.iter() {
            if already.iter().any(|record| record.member.id == *id) {
                continue;
            }
            // The own record is in every datagram anyway.
            let fits = *id == self.local_id || self.table.get(id).is_none_or(|record| outgoing.push(record));
            if !fits {
                break;
            }
            sent.push(id.clone());
        }
        let limit = dissemination::max_transmissions(self.table.live_count());
        for id in sent {
            self.dissemination.record_transmission(&id, limit);
        }
    }
}
