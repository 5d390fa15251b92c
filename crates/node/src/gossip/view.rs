//! What a process makes of the members that it knows.

use std::collections::HashSet;
use std::net::SocketAddr;

use juniperwing_membership::{Member, MemberId, Membership, Role, Status};
use slog::{Logger, info};

/// The most keepers that are told to others of this process; more than ever vote.
const MAX_KEEPERS: usize = 32;

/// The keepers found, and whom the log holds for dead.
pub(super) struct MemberView {
    local_id: MemberId,
    keepers: Vec<SocketAddr>,
    logged_dead: HashSet<MemberId>,
}

/// Live members of a role.
pub(super) fn live_members(membership: &Membership, role: Role) -> impl Iterator<Item = &Member> {
    membership
        .members()
        .filter(move |(member, status)| member.id.role == role && status.is_live())
        .map(|(member, _)| member)
}

impl MemberView {
    pub(super) fn new(me: &MemberId) -> MemberView {
        MemberView { local_id: me.clone(), keepers: Vec::new(), logged_dead: HashSet::new() }
    }

    /// Where live keepers listen, in order of their addresses.
    pub(super) fn keepers(&self) -> &[SocketAddr] {
        &self.keepers
    }

    /// Looks for the keepers again; whether they are others than before.
    pub(super) fn update_keepers(&mut self, membership: &Membership) -> bool {
        let others = live_members(membership, Role::Keeper).filter(|member| member.id != self.local_id);
        let mut keepers: Vec<SocketAddr> = others.map(|member| member.address).collect();
        keepers.sort_unstable();
        keepers.dedup();
        keepers.truncate(MAX_KEEPERS);
        let changed = keepers != self.keepers;
        self.keepers = keepers;
        changed
    }

    /// Logs a death and a return, except at relays, of which there are many.
    pub(super) fn log_change(&mut self, log: &Logger, member: &Member, status: Status) {
        if self.local_id.role == Role::Relay {
            return;
        }
        if status == Status::Dead {
            self.logged_dead.insert(member.id.clone());
            info!(log, "member dead"; "member" => %member.id.node, "its role" => ?member.id.role);
        } else if self.logged_dead.remove(&member.id) && status.is_live() {
            info!(log, "member back"; "member" => %member.id.node, "its role" => ?member.id.role);
        }
    }
}
