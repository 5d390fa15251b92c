//! State of the machines on the network: power, freezes and boot counts.

use std::net::{IpAddr, SocketAddr};

use juniperwing_clock::Time;

use super::{Network, PipeId, State};

/// The network's view of one machine.
#[derive(Debug, Default)]
pub(super) struct MachineState {
    is_powered_off: bool,
    pub(super) is_frozen: bool,
    /// How often the machine has lost power.
    boot_count: u64,
    /// The number of ephemeral ports allocated so far.
    pub(super) next_port: u16,
}

impl Network {
    /// Sets whether a machine is frozen; a frozen machine does not answer new connections.
    pub fn set_frozen(&self, machine: IpAddr, frozen: bool) {
        self.lock().machines.entry(machine).or_default().is_frozen = frozen;
    }

    /// Cuts the power of a machine: it sends nothing more on any connection.
    pub fn power_off(&self, machine: IpAddr) {
        let mut state = self.lock();
        let machine_state = state.machines.entry(machine).or_default();
        machine_state.is_powered_off = true;
        machine_state.boot_count += 1;
        for pipe in state.pipes.values_mut().filter(|pipe| pipe.from == machine) {
            pipe.blocked.clear();
        }
    }

    /// Closes all sockets of a machine whose process ends, as the operating system does, in the order in which they were
    /// opened. Dropping the runtime of the process would close them in an order that depends on its task ids, which all
    /// simulations in this process share.
    pub fn close_sockets(&self, now: Time, machine: IpAddr) {
        self.change(|state| {
            let listeners: Vec<SocketAddr> =
                state.listeners.keys().filter(|address| address.ip() == machine).copied().collect();
            for address in listeners {
                state.listeners.remove(&address);
            }
            let pipes: Vec<PipeId> = state.pipes.keys().copied().collect();
            for id in pipes {
                let Some(pipe) = state.pipes.get(&id) else { continue };
                let (from, to) = (pipe.from, pipe.to);
                if from == machine {
                    state.drop_writer(now, id);
                }
                if to == machine {
                    state.drop_reader(now, id);
                }
            }
        });
    }

    /// Restores the power of a machine, which has lost the state of its earlier connections and resets them.
    pub fn power_on(&self, now: Time, machine: IpAddr) {
        self.change(|state| {
            state.machines.entry(machine).or_default().is_powered_off = false;
            let unacknowledged: Vec<PipeId> = state
                .pipes
                .iter()
                .filter(|(_, pipe)| pipe.to == machine && pipe.unacknowledged_since.is_some())
                .map(|(id, _)| *id)
                .collect();
            unacknowledged.into_iter().for_each(|pipe| state.reset(now, pipe));
        });
    }
}

impl State {
    pub(super) fn has_power(&self, machine: IpAddr) -> bool {
        self.machines.get(&machine).is_none_or(|machine_state| !machine_state.is_powered_off)
    }

    /// How often the machine has lost power.
    pub(super) fn boot_count(&self, machine: IpAddr) -> u64 {
        self.machines.get(&machine).map_or(0, |machine_state| machine_state.boot_count)
    }
}
