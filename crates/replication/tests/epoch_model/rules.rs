//! The rules of keepers, as steps from one state of the tier to the next.

use stateright::{Model, Property};

use super::properties;
use super::state::{
    Epoch, IDENTITIES, Keeper, Log, MAX_WRITES, Members, Message, NEWCOMER, Number, Office, Plan, Read,
    Stage, Tier,
};

/// On how many disks a write must be before it is acknowledged.
const REQUIRED_COPIES: u32 = 2;

/// The primary of the founding epoch.
const FOUNDER: u8 = 0;

/// A guard that is taken out, to show that the properties need it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// `follower.rs`, `accept`: no comparison with the promise.
    AcceptsBelowPromise,
    /// `replica.rs`, `is_eligible`: a voter that is not in sync may become primary.
    TakesOverOutOfSync,
    /// `candidacy.rs`, `new_epoch`: all that promised count as in sync.
    CountsAllAsInSync,
    /// A wiped keeper comes back under its old identity and votes.
    WipedKeepsItsVote,
    /// `primary.rs`, `is_held_by_all`: `any` in place of `all`.
    AcknowledgesBeforeAllInSync,
    /// `candidacy.rs`, `new_epoch`: `previous_voters` stays empty.
    ChangesVotersWithoutThePreviousOnes,
    /// `candidacy.rs`, `promised`: no `rebase` on the highest accepted epoch.
    IgnoresAcceptedEpochs,
    /// `primary.rs`, `advance_primary`: a primary that knows of a higher epoch changes its own.
    ChangesAnEpochThatIsOver,
    /// `primary.rs`, `finish_reads`: no majority is waited for.
    ConfirmsReadsAlone,
    /// `membership.rs`, `is_up_to_date`: a newcomer is admitted in sync whatever it holds.
    AdmitsWithoutState,
}

/// A step.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    Deliver { message: Message, to: u8 },
    StartElection { member: u8, base: Epoch },
    ChangeEpoch { member: u8, base: Epoch, plan: Plan },
    Propose { member: u8, epoch: Epoch },
    TakeOffice { member: u8 },
    Commit { member: u8 },
    Write { member: u8 },
    BeginRead { member: u8 },
    FinishRead { member: u8 },
    Restart { member: u8 },
    Wipe { member: u8 },
}

/// What is explored.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Epochs that are sought after the founding one.
    pub elections: u8,
    pub writes: u8,
    pub restarts: u8,
    /// Whether the first epoch that is sought must let the newcomer in. It has no part in anything before.
    pub admits_first: bool,
    /// A keeper that lost its disk before anything happens.
    pub lost: Option<u8>,
    /// Whether an empty keeper may be let in: beside the others, or in the place of one that lost its disk.
    pub newcomer: bool,
    pub read: bool,
    pub mutation: Option<Mutation>,
}

impl Rules {
    fn has(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    fn must_admit(&self, tier: &Tier) -> bool {
        self.admits_first && tier.elections_left == self.elections
    }

    /// Whether a mutation makes a keeper obey what it would refuse: then no message is ever spent.
    fn obeys_the_past(&self) -> bool {
        let mutations = [Mutation::AcceptsBelowPromise, Mutation::WipedKeepsItsVote];
        self.mutation.is_some_and(|mutation| mutations.contains(&mutation))
    }

    fn step_aside(tier: &mut Tier, member: u8) {
        let keeper = tier.keeper_mut(member);
        keeper.stage = Stage::Following;
        keeper.office = None;
        if tier.read.is_some_and(|read| read.reader == member) {
            tier.read = None;
        }
    }

    fn adopt(keeper: &mut Keeper, epoch: Epoch) {
        keeper.promised = keeper.promised.max(epoch.number);
        keeper.accepted = epoch;
    }

    /// A candidate asks for a promise.
    pub fn prepare(&self, tier: &mut Tier, member: u8, number: Number) {
        if number < tier.keeper(member).promised {
            return;
        }
        if number > tier.keeper(member).promised {
            Rules::step_aside(tier, member);
            tier.keeper_mut(member).promised = number;
        }
        let Keeper { accepted, log, .. } = *tier.keeper(member);
        tier.send(Message::Promise { number, from: member, accepted, held: log });
    }

    /// A candidate asks that its epoch be accepted.
    pub fn accept(&self, tier: &mut Tier, member: u8, epoch: Epoch) {
        let keeper = tier.keeper(member);
        if epoch.number < keeper.promised && !self.has(Mutation::AcceptsBelowPromise) {
            return;
        }
        if epoch.number != keeper.accepted.number {
            Rules::step_aside(tier, member);
            Rules::adopt(tier.keeper_mut(member), epoch);
        }
        self.accepted(tier, member, epoch);
    }

    fn accepted(&self, tier: &mut Tier, member: u8, epoch: Epoch) {
        tier.send(Message::Accepted { number: epoch.number, from: member });
        let is_newer = epoch.number > tier.history.chosen.number;
        if is_newer && epoch.is_quorum(Rules::acceptors(tier, epoch.number)) {
            tier.history.chosen = epoch.settled();
        }
    }

    fn acceptors(tier: &Tier, number: Number) -> Members {
        let accepted = |from: &u8| tier.was_sent(&Message::Accepted { number, from: *from });
        (0..IDENTITIES).filter(accepted).fold(Members::default(), Members::with)
    }

    /// A primary is heard. Its epoch is chosen.
    pub fn heartbeat(&self, tier: &mut Tier, member: u8, epoch: Epoch, answers_read: bool) {
        let keeper = tier.keeper(member);
        if epoch.number < keeper.promised {
            return;
        }
        if epoch.number > keeper.accepted.number {
            Rules::step_aside(tier, member);
            Rules::adopt(tier.keeper_mut(member), epoch);
        } else {
            let keeper = tier.keeper_mut(member);
            keeper.accepted = keeper.accepted.settled();
        }
        tier.keeper_mut(member).stage = Stage::Following;
        if answers_read {
            tier.send(Message::HeartbeatAnswer { epoch: epoch.number, from: member });
        }
    }

    /// A primary sends its state. A single write is the same, but is taken only on top of the state before.
    pub fn snapshot(&self, tier: &mut Tier, member: u8, epoch: Number, log: Log) {
        let keeper = tier.keeper_mut(member);
        if epoch != keeper.promised || epoch != keeper.accepted.number {
            return;
        }
        let held = keeper.log;
        let is_late = held.epoch == epoch && log.len() <= held.len();
        if log != held && !is_late {
            keeper.log = log;
        }
        let held = keeper.log;
        tier.send(Message::Confirm { epoch, from: member, held });
    }

    /// A keeper seeks an epoch: of its own, or as the sitting primary with a plan.
    pub fn start_election(&self, tier: &mut Tier, member: u8, base: Epoch, plan: Option<Plan>) {
        tier.elections_left -= 1;
        if plan.is_none() {
            Rules::step_aside(tier, member);
        }
        let keeper = tier.keeper_mut(member);
        let round = keeper.promised.round.max(base.number.round) + 1;
        let number = Number { round, proposer: member };
        keeper.promised = number;
        keeper.stage = Stage::Candidate { number, base, plan, proposed: false };
        tier.send(Message::Prepare { number });
    }

    /// Every epoch that a candidate may propose now: for each set of promises that a quorum gave, and for each
    /// choice of those that fill the in-sync set up.
    pub fn proposals(&self, tier: &Tier, member: u8) -> Vec<Epoch> {
        let keeper = tier.keeper(member);
        let Stage::Candidate { number, base: first_base, plan, proposed: false } = keeper.stage else {
            return Vec::new();
        };
        let mut promises: Vec<(u8, Epoch)> = Vec::new();
        for message in &tier.messages {
            if let Message::Promise { number: promised, from, accepted, .. } = message
                && *promised == number
            {
                promises.push((*from, *accepted));
            }
        }
        let all = promises.iter().fold(Members::default(), |set, (from, _)| set.with(*from));
        let mut epochs = Vec::new();
        for others in all.subsets() {
            let promised = others.with(member);
            let mut base = first_base;
            let seen = promises.iter().filter(|(from, _)| others.has(*from));
            for (_, accepted) in seen.filter(|_| !self.has(Mutation::IgnoresAcceptedEpochs)) {
                if accepted.is_news(&base) {
                    base = *accepted;
                }
            }
            let is_rebased = base != first_base;
            let gives_up = is_rebased && (keeper.office.is_some() || !self.may_follow(&base, member));
            if !gives_up && base.is_quorum(promised) {
                self.new_epochs(number, &base, plan, promised, &mut epochs);
            }
        }
        epochs.sort_unstable();
        epochs.dedup();
        epochs
    }

    fn may_follow(&self, base: &Epoch, member: u8) -> bool {
        let in_sync = base.in_sync.has(member) || self.has(Mutation::TakesOverOutOfSync);
        base.voters.has(member) && in_sync
    }

    fn new_epochs(
        &self, number: Number, base: &Epoch, plan: Option<Plan>, promised: Members, epochs: &mut Vec<Epoch>,
    ) {
        let me = number.proposer;
        let is_settled = base.previous_voters.is_empty();
        let voters = plan.filter(|_| is_settled).map_or(base.voters, |plan| plan.voters);
        let previous_voters = if !is_settled {
            base.previous_voters
        } else if voters != base.voters && !self.has(Mutation::ChangesVotersWithoutThePreviousOnes) {
            base.voters
        } else {
            Members::default()
        };
        let mut wanted = plan.map_or(base.in_sync, |plan| plan.in_sync);
        if self.has(Mutation::CountsAllAsInSync) {
            wanted = wanted.or(promised);
        }
        let is_new = Members(!base.voters.0);
        let present = wanted.and(promised.or(is_new)).with(me).and(voters);
        for in_sync in filled_up(present, wanted.and(voters), base.in_sync.and(voters)) {
            epochs.push(Epoch { number, in_sync, voters, previous_voters });
        }
    }

    fn propose(&self, tier: &mut Tier, member: u8, epoch: Epoch) {
        let newest = &mut tier.history.proposed[usize::from(member)];
        let is_used = epoch.number <= *newest;
        *newest = epoch.number;
        tier.history.number_used_twice |= is_used;
        let keeper = tier.keeper_mut(member);
        Rules::adopt(keeper, epoch);
        if let Stage::Candidate { proposed, .. } = &mut keeper.stage {
            *proposed = true;
        }
        tier.send(Message::Accept { epoch });
        self.accepted(tier, member, epoch);
    }

    fn is_chosen(&self, tier: &Tier, member: u8) -> bool {
        let keeper = tier.keeper(member);
        let Stage::Candidate { number, proposed: true, .. } = keeper.stage else { return false };
        keeper.accepted.number == number && keeper.accepted.is_quorum(Rules::acceptors(tier, number))
    }

    /// The epoch is chosen: the keeper brings all to its own state first.
    pub fn take_office(&self, tier: &mut Tier, member: u8) {
        let keeper = tier.keeper_mut(member);
        keeper.accepted = keeper.accepted.settled();
        let (epoch, log) = (keeper.accepted, keeper.log);
        let mut office = keeper.office.unwrap_or_default();
        office.synced = false;
        keeper.office = Some(office);
        keeper.stage = Stage::Primary;
        let answers_read = tier.read.is_some_and(|read| read.reader == member);
        tier.send(Message::Heartbeat { epoch, answers_read: false });
        if answers_read {
            tier.send(Message::Heartbeat { epoch, answers_read });
        }
        tier.send(Message::Snapshot { epoch: epoch.number, log });
    }

    /// Whether `member` said, in the present epoch of the primary, that it has `log` on disk.
    fn holds(&self, tier: &Tier, epoch: Number, member: u8, log: Log) -> bool {
        tier.messages.iter().any(|message| match message {
            Message::Confirm { epoch: said_in, from, held } => {
                *from == member && *said_in == epoch && *held == log
            }
            Message::Promise { number, from, held, .. } => {
                *from == member && *number == epoch && *held == log
            }
            _ => false,
        })
    }

    fn is_held_by_all(&self, tier: &Tier, member: u8) -> bool {
        let Keeper { accepted, log, .. } = *tier.keeper(member);
        let mut others = accepted.in_sync.without(member).iter();
        let holds = |other: u8| self.holds(tier, accepted.number, other, log);
        let held = if self.has(Mutation::AcknowledgesBeforeAllInSync) {
            others.any(holds)
        } else {
            others.all(holds)
        };
        accepted.in_sync.count() >= REQUIRED_COPIES && held
    }

    /// All in-sync replicas hold the latest state: it is committed, and the write under way acknowledged.
    pub fn commit(&self, tier: &mut Tier, member: u8) {
        let keeper = tier.keeper_mut(member);
        let (epoch, log) = (keeper.accepted.number, keeper.log);
        let Some(office) = &mut keeper.office else { return };
        office.synced = true;
        office.serves = true;
        office.committed = log;
        let write = std::mem::take(&mut office.in_flight);
        let history = &mut tier.history;
        history.diverged |= !log.agrees_with(&history.committed);
        if log.len() > history.committed.iter().filter(|write| **write != 0).count() {
            history.committed = log.writes;
        }
        if write != 0 {
            history.acknowledged[usize::from(write) - 1] = Some(epoch);
        }
    }

    /// The primary writes a change and sends it.
    pub fn write(&self, tier: &mut Tier, member: u8) {
        tier.writes_begun += 1;
        let write = tier.writes_begun;
        let keeper = tier.keeper_mut(member);
        let epoch = keeper.accepted.number;
        keeper.log = keeper.log.with(epoch, write);
        let log = keeper.log;
        if let Some(office) = &mut keeper.office {
            office.in_flight = write;
        }
        tier.send(Message::Snapshot { epoch, log });
    }

    fn begin_read(&self, tier: &mut Tier, member: u8) {
        tier.may_read = false;
        let acknowledged = tier.history.acknowledged.iter().enumerate();
        let floor =
            acknowledged.filter(|(_, epoch)| epoch.is_some()).fold(0, |bits, (place, _)| bits | 1 << place);
        tier.read = Some(Read { reader: member, floor });
        let epoch = tier.keeper(member).accepted;
        tier.send(Message::Heartbeat { epoch, answers_read: true });
    }

    fn may_finish_read(&self, tier: &Tier, member: u8) -> bool {
        let epoch = tier.keeper(member).accepted;
        let answered =
            |from: &u8| tier.was_sent(&Message::HeartbeatAnswer { epoch: epoch.number, from: *from });
        let present = (0..IDENTITIES).filter(answered).fold(Members::default(), Members::with);
        epoch.voters.is_majority(present.with(member)) || self.has(Mutation::ConfirmsReadsAlone)
    }

    /// A majority answered a round of heartbeats that began after the read.
    pub fn finish_read(&self, tier: &mut Tier, member: u8) {
        let Some(read) = tier.read.take() else { return };
        let Some(office) = &tier.keeper(member).office else { return };
        let shown = office.committed;
        let lacks = |write: &u8| read.floor & (1 << (write - 1)) != 0 && !shown.contains(*write);
        tier.history.read_too_old |= (1..=MAX_WRITES as u8).any(|write| lacks(&write));
        tier.history.read_confirmed = true;
    }

    /// Every change of voters and in-sync replicas that a sitting primary may want: whoever is slow, silent or
    /// up to date, in all combinations.
    pub fn plans(&self, tier: &Tier, member: u8) -> Vec<Plan> {
        let Keeper { accepted: epoch, log, office, .. } = *tier.keeper(member);
        let Some(office) = office else { return Vec::new() };
        let committed = Some(office.committed).filter(|_| office.synced);
        let up_to_date = |other: u8| {
            self.holds(tier, epoch.number, other, log)
                || committed.is_some_and(|committed| self.holds(tier, epoch.number, other, committed))
        };
        let mut choices = vec![epoch.voters];
        let admits = up_to_date(NEWCOMER) || self.has(Mutation::AdmitsWithoutState);
        if tier.keeper(NEWCOMER).is_up && !epoch.voters.has(NEWCOMER) && admits {
            let replaced = epoch.voters.without(member).iter();
            choices.extend(replaced.map(|old| epoch.voters.without(old).with(NEWCOMER)));
        }
        let least = REQUIRED_COPIES.min(epoch.in_sync.count());
        let mut plans = Vec::new();
        for voters in choices {
            let mut candidates = epoch.in_sync.and(voters);
            let current = |other: &u8| up_to_date(*other) || (*other == NEWCOMER && admits);
            candidates = voters.iter().filter(current).fold(candidates, Members::with);
            for present in candidates.subsets().filter(|present| present.has(member)) {
                let nobody = Members::default();
                for in_sync in filled_up(present, epoch.in_sync.and(voters), nobody) {
                    let is_change = voters != epoch.voters || in_sync != epoch.in_sync;
                    if is_change && in_sync.count() >= least {
                        plans.push(Plan { voters, in_sync });
                    }
                }
            }
        }
        plans.dedup();
        plans
    }

    /// A keeper loses its disk and keeps its identity. The real one comes back under a new identity, which is
    /// the newcomer; that the old one never acts again is one of the orders that are explored anyhow.
    fn wipe(tier: &mut Tier, member: u8) {
        tier.may_wipe = false;
        Rules::step_aside(tier, member);
        *tier.keeper_mut(member) = Keeper { is_up: true, ..Keeper::default() };
    }

    fn restart(tier: &mut Tier, member: u8) {
        tier.restarts_left -= 1;
        Rules::step_aside(tier, member);
    }

    /// The epochs that a keeper may know of when it starts an election: the one that it accepted, and those
    /// that others told it of in their answers to a canvass.
    fn known_epochs(tier: &Tier, member: u8) -> Vec<Epoch> {
        let own = tier.keeper(member).accepted;
        let others = tier.keepers.iter().filter(|keeper| keeper.is_up).map(|keeper| keeper.accepted);
        let mut known: Vec<Epoch> = others.filter(|epoch| epoch.is_news(&own)).collect();
        known.push(own);
        known.sort_unstable();
        known.dedup();
        known
    }

    fn deliver(&self, tier: &mut Tier, message: Message, to: u8) {
        match message {
            Message::Prepare { number } => self.prepare(tier, to, number),
            Message::Accept { epoch } => self.accept(tier, to, epoch),
            Message::Snapshot { epoch, log } => self.snapshot(tier, to, epoch, log),
            Message::Heartbeat { epoch, answers_read } => self.heartbeat(tier, to, epoch, answers_read),
            // The proposer and the primary look answers up among the messages.
            Message::Promise { .. }
            | Message::Accepted { .. }
            | Message::Confirm { .. }
            | Message::HeartbeatAnswer { .. } => {}
        }
    }

    fn deliveries(&self, tier: &Tier, actions: &mut Vec<Action>) {
        let voters =
            tier.keepers.iter().fold(Members::default(), |all, keeper| all.or(keeper.accepted.voters));
        for message in &tier.messages {
            let (from, to) = match message {
                Message::Prepare { number } => (number.proposer, voters),
                Message::Accept { epoch } => (epoch.number.proposer, epoch.deciders()),
                Message::Snapshot { epoch, .. } => (epoch.proposer, Members(u8::MAX)),
                Message::Heartbeat { epoch, .. } => (epoch.number.proposer, Members(u8::MAX)),
                _ => continue,
            };
            let up = |member: &u8| tier.keeper(*member).is_up && *member != from;
            for member in to.iter().filter(up) {
                actions.push(Action::Deliver { message: *message, to: member });
            }
        }
    }

    fn own_steps(&self, tier: &Tier, member: u8, actions: &mut Vec<Action>) {
        let keeper = tier.keeper(member);
        if tier.elections_left > 0 && !self.must_admit(tier) {
            let known = Rules::known_epochs(tier, member).into_iter();
            let eligible = known.filter(|base| self.may_follow(base, member));
            actions.extend(eligible.map(|base| Action::StartElection { member, base }));
        }
        let proposals = self.proposals(tier, member).into_iter();
        actions.extend(proposals.map(|epoch| Action::Propose { member, epoch }));
        if self.is_chosen(tier, member) {
            actions.push(Action::TakeOffice { member });
        }
        if keeper.stage == Stage::Primary {
            self.primary_steps(tier, member, actions);
        }
        if tier.restarts_left > 0 {
            actions.push(Action::Restart { member });
        }
        if tier.may_wipe && member != NEWCOMER {
            actions.push(Action::Wipe { member });
        }
    }

    fn primary_steps(&self, tier: &Tier, member: u8, actions: &mut Vec<Action>) {
        let Some(office) = tier.keeper(member).office else { return };
        let is_news = !office.synced || office.in_flight != 0;
        if is_news && self.is_held_by_all(tier, member) {
            actions.push(Action::Commit { member });
        }
        if office.synced && office.in_flight == 0 && tier.writes_begun < self.writes {
            actions.push(Action::Write { member });
        }
        if office.synced && tier.may_read {
            actions.push(Action::BeginRead { member });
        }
        let reads = tier.read.is_some_and(|read| read.reader == member);
        if office.synced && reads && self.may_finish_read(tier, member) {
            actions.push(Action::FinishRead { member });
        }
        if tier.elections_left > 0 {
            let plans = self.plans(tier, member).into_iter();
            for plan in plans.filter(|plan| plan.voters.has(NEWCOMER) || !self.must_admit(tier)) {
                let mut bases = vec![tier.keeper(member).accepted];
                if self.has(Mutation::ChangesAnEpochThatIsOver) {
                    bases = Rules::known_epochs(tier, member);
                }
                actions.extend(bases.into_iter().map(|base| Action::ChangeEpoch { member, base, plan }));
            }
        }
    }
}

/// `present`, filled up to the required copies with members of `first`, then of `second`, in every way.
fn filled_up(present: Members, first: Members, second: Members) -> Vec<Members> {
    if present.count() >= REQUIRED_COPIES {
        return vec![present];
    }
    for source in [first, second] {
        let missing = Members(source.0 & !present.0);
        if !missing.is_empty() {
            let filled = missing.iter().flat_map(|member| filled_up(present.with(member), first, second));
            return filled.collect();
        }
    }
    vec![present]
}

impl Model for Rules {
    type State = Tier;
    type Action = Action;

    fn init_states(&self) -> Vec<Tier> {
        let number = Number { round: 1, proposer: FOUNDER };
        let voters = Members::of(&[0, 1, 2]);
        let epoch = Epoch { number, in_sync: voters, voters, previous_voters: Members::default() };
        let founded = Keeper { is_up: true, promised: number, accepted: epoch, ..Keeper::default() };
        let newcomer = Keeper { is_up: self.newcomer, ..Keeper::default() };
        let mut tier = Tier {
            keepers: [founded, founded, founded, newcomer],
            messages: Vec::new(),
            elections_left: self.elections,
            writes_begun: 0,
            restarts_left: self.restarts,
            may_wipe: self.has(Mutation::WipedKeepsItsVote),
            may_read: self.read,
            read: None,
            history: Default::default(),
        };
        if let Some(lost) = self.lost {
            *tier.keeper_mut(lost) = Keeper::default();
        }
        let founder = tier.keeper_mut(FOUNDER);
        founder.stage = Stage::Primary;
        founder.office = Some(Office { serves: true, synced: true, ..Office::default() });
        tier.send(Message::Heartbeat { epoch, answers_read: false });
        vec![tier]
    }

    fn actions(&self, tier: &Tier, actions: &mut Vec<Action>) {
        self.deliveries(tier, actions);
        for member in (0..IDENTITIES).filter(|member| tier.keeper(*member).is_up) {
            self.own_steps(tier, member, actions);
        }
    }

    fn next_state(&self, tier: &Tier, action: Action) -> Option<Tier> {
        let mut next = tier.clone();
        match action {
            Action::Deliver { message, to } => self.deliver(&mut next, message, to),
            Action::StartElection { member, base } => self.start_election(&mut next, member, base, None),
            Action::ChangeEpoch { member, base, plan } => {
                self.start_election(&mut next, member, base, Some(plan));
            }
            Action::Propose { member, epoch } => self.propose(&mut next, member, epoch),
            Action::TakeOffice { member } => self.take_office(&mut next, member),
            Action::Commit { member } => self.commit(&mut next, member),
            Action::Write { member } => self.write(&mut next, member),
            Action::BeginRead { member } => self.begin_read(&mut next, member),
            Action::FinishRead { member } => self.finish_read(&mut next, member),
            Action::Restart { member } => Rules::restart(&mut next, member),
            Action::Wipe { member } => Rules::wipe(&mut next, member),
        }
        if !self.obeys_the_past() {
            next.forget_spent_messages();
        }
        (next != *tier).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Rules>> {
        properties::all()
    }
}
