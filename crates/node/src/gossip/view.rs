//! What a process makes of the members that it knows.

use std::collections::HashSet;
use std::net::SocketAddr;

use juniperwing_membership::{Member, MemberId, Membership, Role, Status};
use slog::{Logger, info};

/// The most keepers that are told to others of this process; more than ever vote.
const MAX_KEEPERS: usize = 32;

/// The keepers found, and whom the log holds for dead.
pub(super) struct View {
    me: MemberId,
    keepers: Vec<SocketAddr>,
    dead: HashSet<MemberId>,
}

/// Live members of a role.
pub(super) fn live(membership: &Membership, role: Role) -> impl Iterator<Item = &Member> {
    membership
        .members()
        .filter(move |(member, status)| member.id.role == role && status.is_live())
        .map(|(member, _)| member)
}

impl View {
    pub(super) fn new(me: &MemberId) -> View {
        View { me: me.clone(), keepers: Vec::new(), dead: HashSet::new() }
    }

    /// Where live keepers listen, in order of their addresses.
    pub(super) fn keepers(&self) -> &[SocketAddr] {
        &self.keepers
    }

    /// Looks for the keepers again; whether they are others than before.
    pub(super) fn find_keepers(&mut self, membership: &Membership) -> bool {
        let others = live(membership, Role::Keeper).filter(|member| member.id != self.me);
        let mut keepers: Vec<SocketAddr> = others.map(|member| member.address).collect();
        keepers.sort_unstable();
        keepers.dedup();
        keepers.truncate(MAX_KEEPERS);
        let changed = keepers != self.keepers;
        self.keepers = keepers;
        changed
    }

    /// Logs a death and a return, except at relays, of which there are many.
    pub(super) fn log(&mut self, log: &Logger, member: &Member, status: Status) {
        if self.me.role == Role::Relay {
            return;
        }
        if status == Status::Dead {
            self.dead.insert(member.id.clone());
            info!(log, "member dead"; "member" => %member.id.node, "its role" => ?member.id.role);
        } else if self.dead.remove(&member.id) && status.is_live() {
            info!(log, "member back"; "member" => %member.id.node, "its role" => ?member.id.role);
        }
    }
}
