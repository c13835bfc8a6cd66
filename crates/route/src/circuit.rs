//! Circuit breaking for one upstream.

use crate::work::Failure;

/// Failures in a row after which nothing is sent for a while.
const FAILURE_LIMIT: u32 = 3;
/// First time for which an open circuit stays open, in milliseconds.
const OPEN_MIN_MS: u64 = 500;
/// Longest time for which an open circuit stays open, in milliseconds.
const OPEN_MAX_MS: u64 = 10_000;

/// The state of one circuit: closed, open until a deadline, or open with one probe under way.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Circuit {
    failures: u32,
    times_opened: u32,
    open_deadline_ms: Option<u64>,
    probing: bool,
}

impl Circuit {
    /// Whether a request may be sent at `now_ms`.
    pub fn allows(&self, now_ms: u64) -> bool {
        match self.open_deadline_ms {
            None => true,
            Some(deadline_ms) => now_ms >= deadline_ms && !self.probing,
        }
    }

    /// Whether the circuit is not closed.
    pub fn is_open(&self) -> bool {
        self.open_deadline_ms.is_some()
    }

    /// Notes a dispatch. On an open circuit it is the probe; the return value tells whether it is.
    pub fn on_dispatch(&mut self) -> bool {
        let probe = self.open_deadline_ms.is_some() && !self.probing;
        self.probing |= probe;
        probe
    }

    /// Notes a whole answer, which closes the circuit.
    pub fn on_success(&mut self) {
        *self = Self::default();
    }

    /// Notes that the probe ended without an outcome, so that another may start.
    pub fn on_probe_cancelled(&mut self) {
        self.probing = false;
    }

    /// Notes a failure; `jitter` from 0 to 1 spreads the probes of the entries.
    ///
    /// A refused connection opens the circuit at once: the process is gone, and every further try costs a caller time.
    pub fn on_failure(&mut self, now_ms: u64, failure: Failure, jitter: f64) {
        self.failures += match failure {
            Failure::Connect => FAILURE_LIMIT,
            Failure::Broken => 1,
        };
        let probe_failed = self.probing;
        self.probing = false;
        if self.failures < FAILURE_LIMIT {
            return;
        }
        // Further failures of exchanges that started before the circuit opened must not lengthen the wait.
        let waiting = self.open_deadline_ms.is_some_and(|at_ms| now_ms < at_ms);
        if waiting && !probe_failed {
            return;
        }
        let open_ms = (OPEN_MIN_MS << self.times_opened.min(5)).min(OPEN_MAX_MS);
        self.times_opened += 1;
        self.open_deadline_ms = Some(now_ms + open_ms + (open_ms as f64 * jitter * 0.2) as u64);
    }
}
