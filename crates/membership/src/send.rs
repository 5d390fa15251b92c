//! Outgoing datagrams, with updates piggybacked on them.

use std::net::SocketAddr;

use crate::dissemination;
use crate::event::Command;
use crate::member::{MemberId, Record, Status};
use crate::membership::Membership;
use crate::wire::{DatagramBuilder, Message};

impl Membership {
    /// Sends a message with updates to `member`; a record that it should refute goes first.
    pub(crate) fn send_to(&mut self, to: SocketAddr, member: &MemberId, message: &Message) {
        let known = self.table.get(member).filter(|known| known.status != Status::Alive).cloned();
        self.send(to, message, Vec::from_iter(known));
    }

    /// Sends a message with the records `first`, followed by as many updates as fit.
    pub(crate) fn send(&mut self, to: SocketAddr, message: &Message, first: Vec<Record>) {
        let mut datagram = DatagramBuilder::new(&self.local_record, message);
        let fits = first.iter().all(|record| datagram.push(record));
        if fits {
            self.append_updates(&mut datagram, &first);
        }
        self.commands.push(Command::Send { to, bytes: datagram.into_bytes() });
    }

    /// Sends a message with these records and no updates.
    pub(crate) fn send_bare(&mut self, to: SocketAddr, message: &Message, records: &[Record]) {
        let bytes = crate::wire::encode(&self.local_record, message, records);
        self.commands.push(Command::Send { to, bytes });
    }

    fn append_updates(&mut self, datagram: &mut DatagramBuilder, included: &[Record]) {
        let mut sent = Vec::new();
        for id in self.dissemination.iter() {
            if included.iter().any(|record| record.member.id == *id) {
                continue;
            }
            // The local record is in every datagram anyway.
            let fits = *id == self.local_id || self.table.get(id).is_none_or(|record| datagram.push(record));
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
