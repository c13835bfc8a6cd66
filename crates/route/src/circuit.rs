//! Circuit breaking for one upstream.

use crate::types::ExchangeFailure;

/// Number of consecutive failures after which the circuit opens.
const FAILURE_LIMIT: u32 = 3;
/// First time for which an open circuit stays open, in milliseconds.
const OPEN_MIN_MS: u64 = 500;
/// Longest time for which an open circuit stays open, in milliseconds.
const OPEN_MAX_MS: u64 = 10_000;

/// The state of one circuit: closed, open until a time, or open with one probe in flight.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Circuit {
    failures: u32,
    times_opened: u32,
    open_until_ms: Option<u64>,
    probe_in_flight: bool,
}

impl Circuit {
    /// Returns whether a request may be sent at `now_ms`.
    pub fn allows(&self, now_ms: u64) -> bool {
        match self.open_until_ms {
            None => true,
            Some(until_ms) => now_ms >= until_ms && !self.probe_in_flight,
        }
    }

    /// Returns whether the circuit is not closed.
    pub fn is_open(&self) -> bool {
        self.open_until_ms.is_some()
    }

    /// Records a dispatch. On an open circuit the dispatch is the probe, unless one is in flight. Returns whether the
    /// dispatch is the probe.
    pub fn on_dispatch(&mut self) -> bool {
        let probe = self.open_until_ms.is_some() && !self.probe_in_flight;
        self.probe_in_flight |= probe;
        probe
    }

    /// Records a complete answer, which closes the circuit.
    pub fn on_success(&mut self) {
        *self = Self::default();
    }

    /// Records that the probe ended without an outcome, so that another probe may start.
    pub fn on_probe_cancelled(&mut self) {
        self.probe_in_flight = false;
    }

    /// Records a failure. `jitter` from 0 to 1 spreads the probes of the instances over time.
    ///
    /// A refused connection opens the circuit at once, because the upstream's process has ended and every further
    /// attempt would delay a caller.
    pub fn on_failure(&mut self, now_ms: u64, failure: ExchangeFailure, jitter: f64) {
        self.failures += match failure {
            ExchangeFailure::Connect => FAILURE_LIMIT,
            ExchangeFailure::Broken => 1,
        };
        let probe_failed = self.probe_in_flight;
        self.probe_in_flight = false;
        if self.failures < FAILURE_LIMIT {
            return;
        }
        // Failures of exchanges that started before the circuit opened must not extend the open time.
        let still_open = self.open_until_ms.is_some_and(|until_ms| now_ms < until_ms);
        if still_open && !probe_failed {
            return;
        }
        let open_ms = (OPEN_MIN_MS << self.times_opened.min(5)).min(OPEN_MAX_MS);
        self.times_opened += 1;
        self.open_until_ms = Some(now_ms + open_ms + (open_ms as f64 * jitter * 0.2) as u64);
    }
}
