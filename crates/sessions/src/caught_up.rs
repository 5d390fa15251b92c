//! Reports to the keepers: which joining replicas have caught up with the primary.

use juniperwing_protocol::subscription::CaughtUp;

use crate::event::Command;
use crate::limits::REPORT_INTERVAL;
use crate::store::Store;
use crate::timers::Timer;

impl Store {
    /// The joining replicas that hold all that this store holds, of all partitions that it leads. A replica is named
    /// only when the version of the map that made it join is on disk (`DurableMapVersion` says why).
    pub fn caught_up_replicas(&self) -> Vec<CaughtUp> {
        self.caught_up_by_map(self.durable_map_version.durable())
    }

    /// The same for the partitions whose epoch came with the map of this version or an earlier one.
    fn caught_up_by_map(&self, newest_version: u64) -> Vec<CaughtUp> {
        let mut caught_up = Vec::new();
        let led = self.led_partitions.iter().filter(|(_, led)| led.first_map_version <= newest_version);
        for (partition, led) in led {
            let Some(assignment) = self.map.assignment(*partition) else { continue };
            let synchronized =
                assignment.joining.iter().filter(|replica| led.is_replica_synchronized(**replica));
            caught_up.extend(synchronized.map(|replica| CaughtUp {
                partition: *partition,
                epoch: led.epoch,
                replica: *replica,
            }));
        }
        caught_up
    }

    /// Reports the replicas that have caught up, now and at intervals until the keepers' map shows them in sync. What
    /// may not be reported yet is reported as soon as the version of the map is on disk.
    pub(crate) fn report_caught_up(&mut self) {
        if self.is_report_scheduled {
            return;
        }
        let version = self.map.version;
        let all = self.caught_up_by_map(version).len();
        if all == 0 {
            return;
        }
        let reportable = self.caught_up_replicas().len();
        if reportable < all && self.durable_map_version.start_write(version) {
            self.commands.push(Command::WriteMapVersion { version });
        }
        if reportable > 0 {
            self.commands.push(Command::ReportCaughtUp);
        }
        self.is_report_scheduled = true;
        self.timers.insert((self.moment.now + REPORT_INTERVAL, Timer::ReportInterval));
    }

    /// The version of the map is on disk: reports what had to wait for it.
    pub(crate) fn handle_map_version_written(&mut self, version: u64) {
        self.durable_map_version.complete_write(version);
        if !self.caught_up_replicas().is_empty() {
            self.commands.push(Command::ReportCaughtUp);
        }
    }

    /// Reports again what the keepers' map does not show yet.
    pub(crate) fn report_interval_elapsed(&mut self) {
        self.is_report_scheduled = false;
        self.report_caught_up();
    }
}
