//! Reports to the keepers: which joining replicas have caught up with the primary.

use juniperwing_protocol::subscription::CaughtUp;

use crate::event::Command;
use crate::limits::REPORT_INTERVAL;
use crate::store::Store;
use crate::timers::Timer;

impl Store {
    /// The joining replicas that hold all records of this store, in all partitions that it leads. A replica is included
    /// only once the version of the map that made it join is on disk; see `DurableMapVersion` for the reason.
    pub fn caught_up_replicas(&self) -> Vec<CaughtUp> {
        self.caught_up_by_map(self.durable_map_version.durable())
    }

    /// The joining replicas that have caught up in partitions whose epoch started with this map version or an earlier
    /// one.
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

    /// Reports the replicas that have caught up, now and periodically until the map shows them in sync. Replicas that
    /// must not be reported yet are reported as soon as the map version is on disk.
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
        self.timers.insert((self.clock.now + REPORT_INTERVAL, Timer::ReportInterval));
    }

    /// Reports the replicas that were held back until the map version was on disk.
    pub(crate) fn handle_map_version_written(&mut self, version: u64) {
        self.durable_map_version.complete_write(version);
        if !self.caught_up_replicas().is_empty() {
            self.commands.push(Command::ReportCaughtUp);
        }
    }

    /// Repeats the report for replicas that the map does not show in sync yet.
    pub(crate) fn report_interval_elapsed(&mut self) {
        self.is_report_scheduled = false;
        self.report_caught_up();
    }
}
