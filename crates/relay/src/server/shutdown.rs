//! The phases of a shutdown.

use juniperwing::interface::Event;
use juniperwing::time::{Span, Time};
use slog::info;

use super::Server;

/// The end of each phase, relative to the shutdown request. The last phase ends well before a machine that is shutting
/// down kills the remaining processes.
const SERVING_ENDS_AFTER: Span = Span::from_millis(2_000);
const ADMISSION_ENDS_AFTER: Span = Span::from_millis(2_800);
const CLOSING_ENDS_AFTER: Span = Span::from_millis(3_100);

#[derive(Clone, Copy, PartialEq, Eq)]
enum ShutdownPhase {
    /// Service continues, but `/ready` responds with 503.
    Serving,
    /// No new calls are started. Calls in flight may complete, and notifications are accepted for the next process.
    AdmittingOnly,
    /// No new clients are accepted, and idle connections are closed.
    Closing,
}

/// A shutdown in progress.
#[derive(Clone, Copy)]
pub(super) struct Shutdown {
    requested_at: Time,
    phase: ShutdownPhase,
}

impl Shutdown {
    pub(super) fn phase_ends_at(&self) -> Time {
        self.requested_at
            + match self.phase {
                ShutdownPhase::Serving => SERVING_ENDS_AFTER,
                ShutdownPhase::AdmittingOnly => ADMISSION_ENDS_AFTER,
                ShutdownPhase::Closing => CLOSING_ENDS_AFTER,
            }
    }

    /// Whether each further response closes its connection.
    pub(super) fn is_admission_over(&self, now: Time) -> bool {
        self.requested_at + ADMISSION_ENDS_AFTER <= now
    }
}

impl Server {
    /// Starts the shutdown unless one is already in progress.
    pub(super) fn begin_shutdown(&mut self, now: Time) {
        if self.shutdown.is_some() {
            return;
        }
        info!(self.log, "shutdown started"; "outstanding" => self.journal.live_count(),
            "calls_in_flight" => self.upstream.calls_in_flight());
        self.client_connections.is_shutting_down = true;
        self.shutdown = Some(Shutdown { requested_at: now, phase: ShutdownPhase::Serving });
    }

    /// Advances to the next phase if it is due. Returns whether the shutdown is complete.
    pub(super) fn advance_shutdown(&mut self, now: Time) -> bool {
        let Some(shutdown) = &mut self.shutdown else { return false };
        let is_phase_over = shutdown.phase_ends_at() <= now;
        match shutdown.phase {
            ShutdownPhase::Serving if is_phase_over => {
                shutdown.phase = ShutdownPhase::AdmittingOnly;
                info!(self.log, "new calls stopped"; "calls_in_flight" => self.upstream.calls_in_flight());
                self.core.enqueue(Event::SlotLimitChanged(0));
                false
            }
            ShutdownPhase::AdmittingOnly if is_phase_over => {
                shutdown.phase = ShutdownPhase::Closing;
                self.net.stop_listening();
                false
            }
            ShutdownPhase::Closing => {
                // Waits for calls in flight, so that the next process does not have to assume that they may have run.
                let is_drained =
                    self.client_connections.close_idle(&mut self.net) && self.upstream.calls_in_flight() == 0;
                if is_drained || is_phase_over {
                    self.finish_shutdown();
                }
                is_drained || is_phase_over
            }
            ShutdownPhase::Serving | ShutdownPhase::AdmittingOnly => false,
        }
    }

    fn finish_shutdown(&mut self) {
        self.net.flush();
        info!(self.log, "shutdown complete"; "outstanding" => self.journal.live_count(),
            "calls_in_flight" => self.upstream.calls_in_flight());
    }
}
