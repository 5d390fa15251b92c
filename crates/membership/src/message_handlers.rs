//! Handlers of incoming datagrams.

use std::net::SocketAddr;

use juniperwing_clock::Time;

use crate::event::Command;
use crate::member::{MemberId, Record};
use crate::membership::Membership;
use crate::update::UpdateSource;
use crate::wire::{Datagram, Message};

impl Membership {
    pub(crate) fn handle_bytes(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) {
        match Datagram::decode(bytes) {
            Ok(datagram) => self.handle_datagram(now, from, datagram),
            Err(reason) => self.commands.push(Command::Rejected { from, reason }),
        }
    }

    fn handle_datagram(&mut self, now: Time, from: SocketAddr, datagram: Datagram) {
        let Datagram { sender, message, records } = datagram;
        if self.has_left {
            self.handle_message_after_leaving(from, message);
            return;
        }
        let sender_id = sender.member.id.clone();
        if sender_id == self.local_id {
            self.apply_record(now, sender, UpdateSource::Subject);
            return;
        }
        let claimed = sender.clone();
        self.apply_record(now, sender, UpdateSource::Subject);
        let source = match message {
            Message::Page { .. } | Message::PageReply | Message::Correction => UpdateSource::TableSync,
            _ => UpdateSource::Gossip,
        };
        for record in &records {
            self.apply_record(now, record.clone(), source);
        }
        self.correct_sender(from, &claimed, &message);
        self.handle_message(from, sender_id, message, &records);
    }

    fn handle_message(&mut self, from: SocketAddr, sender: MemberId, message: Message, records: &[Record]) {
        match message {
            Message::Ping { sequence } => self.send_to(from, &sender, &Message::Ack { sequence }),
            Message::Ack { sequence } => self.handle_ack(sequence, &sender),
            Message::PingRequest { sequence, target, address } => {
                self.handle_ping_request(from, sequence, target, address);
            }
            Message::IndirectAck { sequence, target } => self.handle_indirect_ack(sequence, &target),
            Message::Digest { buckets } => self.handle_digest(from, &buckets),
            Message::Page { range, has_more } => self.handle_page(from, sender, range, has_more, records),
            Message::PageReply => self.handle_page_reply(from, records),
            Message::Gossip | Message::Correction => {}
        }
    }

    fn handle_message_after_leaving(&mut self, from: SocketAddr, message: Message) {
        if let Message::Ping { sequence } = message {
            self.send(from, &Message::Ack { sequence }, Vec::new());
        }
    }

    /// Sends the sender the record of it that is known here if that supersedes the record that it sent: a suspicion, a
    /// death, or a record of its previous run.
    fn correct_sender(&mut self, to: SocketAddr, claimed: &Record, message: &Message) {
        if *message == Message::Correction {
            return;
        }
        let known = self.table.get(&claimed.member.id).filter(|known| known.supersedes(claimed)).cloned();
        if let Some(known) = known {
            self.send(to, &Message::Correction, vec![known]);
        }
    }
}
