//! Where a keeper that is no voter may find the others: changed settings and the membership, beside the seeds of
//! its start.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use juniperwing_membership::Role;
use juniperwing_replication::Event;
use tokio::sync::watch;

use super::Keeper;
use crate::gossip::{Gossip, Myself};
use crate::settings::Settings;
use crate::sync::lock;

/// The membership of a keeper and the seeds of its present settings.
pub(super) struct Contacts {
    keeper: Arc<Keeper>,
    gossip: Gossip,
    known: Arc<Mutex<Known>>,
}

/// What was heard, by its source.
#[derive(Default)]
struct Known {
    seeds: Vec<SocketAddr>,
    found: Vec<SocketAddr>,
}

impl Known {
    /// Found members first: they are alive.
    fn all(&self) -> Vec<SocketAddr> {
        let mut all = self.found.clone();
        all.extend(self.seeds.iter().filter(|seed| !self.found.contains(seed)));
        all
    }
}

impl Contacts {
    /// Joins the membership.
    pub(super) async fn start(settings: &Settings, keeper: &Arc<Keeper>) -> io::Result<Arc<Contacts>> {
        let known: Arc<Mutex<Known>> = Arc::default();
        let (heard, receiver) = (Arc::clone(&known), Arc::clone(keeper));
        let observer = Box::new(move |found| {
            let all = update(&heard, |known| known.found = found);
            receiver.replica_event(Event::ContactsChanged(all));
        });
        let myself = Myself { role: Role::Keeper, disk: Some(keeper.me.disk) };
        let gossip = Gossip::start(settings, myself, keeper.log.clone(), observer).await?;
        Ok(Arc::new(Contacts { keeper: Arc::clone(keeper), gossip, known }))
    }

    /// Takes the seeds of settings as they change.
    pub(super) async fn follow(self: Arc<Self>, mut changes: watch::Receiver<Settings>) {
        while changes.changed().await.is_ok() {
            let settings = changes.borrow_and_update().clone();
            let all = update(&self.known, |known| known.seeds = settings.seed_keepers());
            self.keeper.replica_event(Event::ContactsChanged(all));
            self.gossip.reload(&settings);
        }
        // Nobody changes the settings any more.
        std::future::pending().await
    }

    /// Tells the other members that this keeper ends.
    pub(super) fn leave(&self) {
        self.gossip.leave();
    }
}

fn update(known: &Mutex<Known>, change: impl FnOnce(&mut Known)) -> Vec<SocketAddr> {
    let mut known = lock(known);
    change(&mut known);
    known.all()
}
