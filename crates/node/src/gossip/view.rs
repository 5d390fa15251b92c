//! A process's view of the other members: live keepers, and members logged as dead.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use juniperwing_membership::{Member, MemberId, Membership, Role, Status};
use slog::{Logger, info};

/// Maximum number of keepers reported to the observer. It exceeds the number of voters.
const MAX_KEEPERS: usize = 32;

/// The live keepers, and the members logged as dead.
pub(super) struct MemberView {
    local_id: MemberId,
    keepers: Vec<SocketAddr>,
    logged_dead: BTreeSet<MemberId>,
}

/// The live members of a role.
pub(super) fn live_members(membership: &Membership, role: Role) -> impl Iterator<Item = &Member> {
    membership
        .members()
        .filter(move |(member, status)| member.id.role == role && status.is_live())
        .map(|(member, _)| member)
}

impl MemberView {
    pub(super) fn new(local_id: &MemberId) -> MemberView {
        MemberView { local_id: local_id.clone(), keepers: Vec::new(), logged_dead: BTreeSet::new() }
    }

    /// The addresses of live keepers, sorted.
    pub(super) fn keepers(&self) -> &[SocketAddr] {
        &self.keepers
    }

    /// Updates the keepers from the membership. Returns whether they have changed.
    pub(super) fn update_keepers(&mut self, membership: &Membership) -> bool {
        let others = live_members(membership, Role::Keeper).filter(|member| member.id != self.local_id);
        let mut keepers: Vec<SocketAddr> = others.map(|member| member.address).collect();
        keepers.sort_unstable();
        keepers.dedup();
        keepers.truncate(MAX_KEEPERS);
        let has_changed = keepers != self.keepers;
        self.keepers = keepers;
        has_changed
    }

    /// Logs that a member is declared dead or is alive again. Relays do not log it, since there are many of them.
    pub(super) fn log_change(&mut self, log: &Logger, member: &Member, status: Status) {
        if self.local_id.role == Role::Relay {
            return;
        }
        if status == Status::Dead {
            self.logged_dead.insert(member.id.clone());
            info!(log, "member declared dead"; "member" => %member.id.node, "member_role" => ?member.id.role);
        } else if self.logged_dead.remove(&member.id) && status.is_live() {
            info!(log, "member alive again"; "member" => %member.id.node, "member_role" => ?member.id.role);
        }
    }
}
