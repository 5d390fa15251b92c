//! Discovery of the other keepers: from the membership and from reloaded settings, in addition to the initial seeds.
//!
//! A keeper that is not a voter sends its join requests to these addresses.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use juniperwing_membership::Role;
use juniperwing_replication::Event;

use super::controller::Controller;
use crate::gossip::{Gossip, LocalMember};
use crate::settings::Settings;
use crate::sync::{lock, watch};

/// Tracks the addresses of other keepers.
pub(super) struct PeerDiscovery {
    controller: Arc<Controller>,
    gossip: Gossip,
    known: Arc<Mutex<KnownAddresses>>,
}

/// The known addresses, by source.
#[derive(Default)]
struct KnownAddresses {
    seeds: Vec<SocketAddr>,
    members: Vec<SocketAddr>,
}

impl KnownAddresses {
    /// All addresses; members first, since they are likely to be alive.
    fn all(&self) -> Vec<SocketAddr> {
        let mut all = self.members.clone();
        all.extend(self.seeds.iter().filter(|seed| !self.members.contains(seed)));
        all
    }
}

impl PeerDiscovery {
    /// Joins the membership.
    pub(super) async fn start(
        settings: &Settings, controller: &Arc<Controller>,
    ) -> io::Result<Arc<PeerDiscovery>> {
        let known: Arc<Mutex<KnownAddresses>> = Arc::default();
        let (known_to_observer, receiver) = (Arc::clone(&known), Arc::clone(controller));
        let observer = Box::new(move |members| {
            let all = update(&known_to_observer, |known| known.members = members);
            receiver.step_replica(Event::ContactsChanged(all));
        });
        let local_member = LocalMember { role: Role::Keeper, disk: Some(controller.local_voter.disk) };
        let gossip = Gossip::start(settings, local_member, controller.log.clone(), observer).await?;
        Ok(Arc::new(PeerDiscovery { controller: Arc::clone(controller), gossip, known }))
    }

    /// Applies changes of the seeds in the settings.
    pub(super) async fn follow_settings(self: Arc<Self>, mut changes: watch::Receiver<Settings>) {
        while changes.changed().await.is_ok() {
            let settings = changes.borrow_and_update().clone();
            let all = update(&self.known, |known| known.seeds = settings.seed_keepers());
            self.controller.step_replica(Event::ContactsChanged(all));
            self.gossip.reload(&settings);
        }
        // The settings do not change any more.
        std::future::pending().await
    }

    /// Announces to the other members that this keeper leaves.
    pub(super) fn leave(&self) {
        self.gossip.leave();
    }
}

/// Changes the known addresses and returns all of them.
fn update(known: &Mutex<KnownAddresses>, change: impl FnOnce(&mut KnownAddresses)) -> Vec<SocketAddr> {
    let mut known = lock(known);
    change(&mut known);
    known.all()
}
