//! The state of one upstream as one instance knows it, and the load estimated from that state.

use std::collections::VecDeque;

use conf::{Name, Role, ServiceKind, Upstream};

use crate::cache::CacheView;
use crate::circuit::Circuit;
use crate::types::{LoadDigest, LoadReport, Presence};

/// Age up to which a report has its full weight, in milliseconds. This age covers three lost reports at the default
/// interval.
const FULL_WEIGHT_MS: u64 = 1_000;
/// Age from which a report has no weight and only the instance's own dispatches count, in milliseconds.
const NO_WEIGHT_MS: u64 = 10_000;
/// Time from a dispatch until the counts in the upstream's reports include it, in milliseconds.
const TRANSIT_MS: u64 = 2;
/// Share of the batch limit below which a smaller batch no longer makes each request faster.
const MIN_BATCH_SHARE: f64 = 0.25;
/// Bounds and smoothing factor of the learned ratio of actual to expected times.
const SLOWDOWN_MIN: f64 = 0.5;
const SLOWDOWN_MAX: f64 = 8.0;
const SLOWDOWN_SMOOTHING: f64 = 0.1;

/// A dispatch or end of one of the instance's own exchanges, kept until a report covers it.
#[derive(Clone, Copy, Debug)]
struct LocalChange {
    at_ms: u64,
    in_flight_change: i32,
    prompt_tokens: u32,
}

/// The figures of the last report or digest.
#[derive(Clone, Copy, Debug)]
struct Reported {
    at_ms: u64,
    in_flight: u32,
    kv_chunks_used: u32,
}

/// The state of one upstream as one instance knows it.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamView {
    pub(crate) name: Name,
    pub(crate) service: Name,
    pub(crate) kind: ServiceKind,
    pub(crate) zone: Name,
    pub(crate) role: Role,
    /// Loaded models by interned number, sorted. `None` until a report names them.
    pub(crate) models: Option<Vec<u32>>,
    pub(crate) prefill_tokens_per_ms: f64,
    pub(crate) decode_tokens_per_ms: f64,
    pub(crate) max_running: u32,
    pub(crate) draining: bool,
    pub(crate) platform_presence: Presence,
    pub(crate) observed_presence: Presence,
    pub(crate) circuit: Circuit,
    pub(crate) cache: CacheView,
    /// Number of the instance's own open exchanges.
    pub(crate) outstanding: u32,
    /// Output tokens that are still expected for the instance's own open exchanges.
    pub(crate) output_tokens_expected: u64,
    reported: Option<Reported>,
    /// Time of the report from which the role and the models were taken, in milliseconds.
    role_and_models_at_ms: Option<u64>,
    kv_chunks_total: u32,
    changes_since_report: VecDeque<LocalChange>,
    /// Sum of the changes of the number of requests in flight since the last report or digest.
    in_flight_change_since_report: i32,
    /// Prompt tokens that waited at `backlog_at_ms`. The backlog falls at the prefill speed from then on.
    backlog_tokens: f64,
    backlog_at_ms: u64,
    /// Learned ratio of actual to expected times. The ratio serves only to compare upstreams: the waits of one rank say
    /// little about those of another rank, so the ratio must not decide on deadlines.
    pub(crate) slowdown: f64,
}

/// Expected times of one request at one upstream, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ExpectedTimes {
    pub(crate) first_token_ms: f64,
    pub(crate) total_ms: f64,
}

impl UpstreamView {
    pub(crate) fn new(slot: u32, upstream: &Upstream, kind: ServiceKind) -> Self {
        let mut view = Self {
            name: upstream.name.clone(),
            service: Name::default(),
            kind,
            zone: Name::default(),
            role: match kind {
                ServiceKind::Model => upstream.role,
                ServiceKind::Plain => Role::Mixed,
            },
            models: None,
            prefill_tokens_per_ms: 0.0,
            decode_tokens_per_ms: 0.0,
            max_running: 0,
            draining: false,
            platform_presence: Presence::Live,
            observed_presence: Presence::Live,
            circuit: Circuit::default(),
            cache: CacheView::new(slot, upstream.cache_chunks as usize),
            outstanding: 0,
            output_tokens_expected: 0,
            reported: None,
            role_and_models_at_ms: None,
            kv_chunks_total: 0,
            changes_since_report: VecDeque::new(),
            in_flight_change_since_report: 0,
            backlog_tokens: 0.0,
            backlog_at_ms: 0,
            slowdown: 1.0,
        };
        view.configure(upstream, kind);
        view
    }

    pub(crate) fn configure(&mut self, upstream: &Upstream, kind: ServiceKind) {
        self.service = upstream.service.clone();
        self.kind = kind;
        self.zone = upstream.availability_zone.clone();
        self.prefill_tokens_per_ms = (upstream.prefill_tokens_per_s / 1_000.0).max(0.001);
        self.decode_tokens_per_ms = (upstream.decode_tokens_per_s / 1_000.0).max(0.001);
        self.max_running = upstream.max_running.max(1);
    }

    /// Returns whether the upstream may get new requests.
    pub(crate) fn accepts(&self, now_ms: u64) -> bool {
        !self.draining
            && self.platform_presence == Presence::Live
            && self.observed_presence == Presence::Live
            && self.circuit.allows(now_ms)
    }

    pub(crate) fn serves(&self, model: Option<u32>) -> bool {
        match (&self.models, model) {
            (_, None) | (None, _) => true,
            (Some(models), Some(model)) => models.binary_search(&model).is_ok(),
        }
    }

    /// Returns whether a report is the newest, so that its role and models are in effect. Records the time of the
    /// newest report.
    pub(crate) fn accept_role_and_models(&mut self, now_ms: u64, report: &LoadReport) -> bool {
        let at_ms = now_ms.saturating_sub(report.age_ms);
        let newest = self
            .role_and_models_at_ms
            .is_none_or(|known_ms| at_ms >= known_ms);
        if newest {
            self.role_and_models_at_ms = Some(at_ms);
        }
        newest
    }

    pub(crate) fn on_report(&mut self, now_ms: u64, report: &LoadReport) {
        self.kv_chunks_total = report.kv_chunks_total;
        let digest = LoadDigest {
            age_ms: report.age_ms,
            running: report.running,
            waiting: report.waiting,
            prompt_tokens_waiting: report.prompt_tokens_waiting,
            kv_chunks_used: report.kv_chunks_used,
        };
        self.on_digest(now_ms, &digest);
    }

    /// Applies the load of a digest, unless newer values are known.
    pub(crate) fn on_digest(&mut self, now_ms: u64, digest: &LoadDigest) {
        let at_ms = now_ms.saturating_sub(digest.age_ms);
        if self
            .reported
            .is_some_and(|reported| reported.at_ms >= at_ms)
        {
            return;
        }
        self.reported = Some(Reported {
            at_ms,
            in_flight: digest.running + digest.waiting,
            kv_chunks_used: digest.kv_chunks_used,
        });
        self.drop_changes(at_ms.saturating_sub(TRANSIT_MS));
        self.backlog_tokens = f64::from(digest.prompt_tokens_waiting);
        self.backlog_at_ms = at_ms;
        for index in 0..self.changes_since_report.len() {
            let change = self.changes_since_report[index];
            self.add_backlog(change.at_ms, change.prompt_tokens);
        }
    }

    pub(crate) fn on_dispatch(&mut self, now_ms: u64, prompt_tokens: u32, output_tokens: u32) {
        self.outstanding += 1;
        self.output_tokens_expected += u64::from(output_tokens);
        self.add_backlog(now_ms, prompt_tokens);
        self.record_change(LocalChange {
            at_ms: now_ms,
            in_flight_change: 1,
            prompt_tokens,
        });
    }

    pub(crate) fn on_end(&mut self, now_ms: u64, output_tokens_left: u32) {
        self.outstanding = self.outstanding.saturating_sub(1);
        let left = u64::from(output_tokens_left);
        self.output_tokens_expected = self.output_tokens_expected.saturating_sub(left);
        self.record_change(LocalChange {
            at_ms: now_ms,
            in_flight_change: -1,
            prompt_tokens: 0,
        });
    }

    /// Moves the learned slowdown towards the ratio of an actual time to the expected one.
    pub(crate) fn on_duration(&mut self, actual_ms: u64, expected_ms: u64) {
        if expected_ms == 0 {
            return;
        }
        let ratio = (actual_ms.max(1) as f64 / expected_ms as f64).clamp(0.1, 10.0);
        let kept = self.slowdown.powf(1.0 - SLOWDOWN_SMOOTHING);
        let slowdown = kept * ratio.powf(SLOWDOWN_SMOOTHING);
        self.slowdown = slowdown.clamp(SLOWDOWN_MIN, SLOWDOWN_MAX);
    }

    /// Returns the age of the last report or digest, in milliseconds, or `u64::MAX` if there is none.
    pub(crate) fn report_age_ms(&self, now_ms: u64) -> u64 {
        self.reported
            .map_or(u64::MAX, |reported| now_ms.saturating_sub(reported.at_ms))
    }

    /// Returns the estimated number of requests from all instances that run or wait at the upstream.
    pub(crate) fn in_flight(&self, now_ms: u64) -> f64 {
        let own = f64::from(self.outstanding);
        let Some(reported) = self.reported else {
            return own;
        };
        let report_weight = report_weight(self.report_age_ms(now_ms));
        let all = f64::from(reported.in_flight) + f64::from(self.in_flight_change_since_report);
        (report_weight * all + (1.0 - report_weight) * own).max(own)
    }

    /// Returns the estimated number of prompt tokens that wait to be computed.
    pub(crate) fn backlog_tokens_at(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.backlog_at_ms) as f64;
        (self.backlog_tokens - elapsed_ms * self.prefill_tokens_per_ms).max(0.0)
    }

    /// Returns the number of KV chunks that a request needs beyond the free ones.
    pub(crate) fn kv_chunk_deficit(&self, needed: u32) -> u32 {
        if self.kv_chunks_total == 0 {
            return 0;
        }
        let used = self.reported.map_or(0, |reported| reported.kv_chunks_used);
        (used + needed)
            .saturating_sub(self.kv_chunks_total)
            .min(needed)
    }

    /// Returns the expected time between two tokens of one request while `running` requests share the engine, in
    /// milliseconds.
    pub(crate) fn between_tokens_ms(&self, running: f64) -> f64 {
        let limit = f64::from(self.max_running);
        running.clamp(limit * MIN_BATCH_SHARE, limit) / self.decode_tokens_per_ms
    }

    /// Returns the expected times of a request of a model service.
    pub(crate) fn expected_model_times(
        &self,
        now_ms: u64,
        uncached_tokens: f64,
        output_tokens: f64,
    ) -> ExpectedTimes {
        let in_flight = self.in_flight(now_ms) + 1.0;
        let between_tokens_ms = self.between_tokens_ms(in_flight);
        let answer_ms = output_tokens * between_tokens_ms;
        let excess_requests = (in_flight - f64::from(self.max_running)).max(0.0);
        let batch_wait_ms = excess_requests * answer_ms / f64::from(self.max_running);
        let prompt_ms =
            (self.backlog_tokens_at(now_ms) + uncached_tokens) / self.prefill_tokens_per_ms;
        let first_token_ms = batch_wait_ms + prompt_ms + between_tokens_ms;
        ExpectedTimes {
            first_token_ms,
            total_ms: first_token_ms + answer_ms,
        }
    }

    /// Returns the expected times of a request of a plain service that takes `plain_request_ms` on an idle upstream.
    pub(crate) fn expected_plain_times(&self, now_ms: u64, plain_request_ms: f64) -> ExpectedTimes {
        let excess_requests = (self.in_flight(now_ms) + 1.0 - f64::from(self.max_running)).max(0.0);
        let load = self.in_flight(now_ms) / f64::from(self.max_running);
        let total_ms =
            plain_request_ms * (1.0 + load + excess_requests / f64::from(self.max_running));
        ExpectedTimes {
            first_token_ms: total_ms,
            total_ms,
        }
    }

    pub(crate) fn bytes(&self) -> usize {
        let models = self
            .models
            .as_ref()
            .map_or(0, |models| models.capacity() * 4);
        size_of::<Self>() + models + self.changes_since_report.capacity() * size_of::<LocalChange>()
    }

    fn add_backlog(&mut self, at_ms: u64, prompt_tokens: u32) {
        // A change within the transit time before the report must not move `backlog_at_ms` back.
        let at_ms = at_ms.max(self.backlog_at_ms);
        self.backlog_tokens = self.backlog_tokens_at(at_ms) + f64::from(prompt_tokens);
        self.backlog_at_ms = at_ms;
    }

    fn record_change(&mut self, change: LocalChange) {
        // Without reports, changes older than the age limit of reports are dropped, which bounds the list.
        self.drop_changes(change.at_ms.saturating_sub(NO_WEIGHT_MS));
        self.in_flight_change_since_report += change.in_flight_change;
        self.changes_since_report.push_back(change);
    }

    fn drop_changes(&mut self, covered_until_ms: u64) {
        while let Some(change) = self.changes_since_report.front() {
            if change.at_ms > covered_until_ms {
                return;
            }
            self.in_flight_change_since_report -= change.in_flight_change;
            self.changes_since_report.pop_front();
        }
    }
}

/// Returns the weight of a report of this age, from 0 to 1.
pub(crate) fn report_weight(age_ms: u64) -> f64 {
    let beyond_ms = age_ms.saturating_sub(FULL_WEIGHT_MS) as f64;
    (1.0 - beyond_ms / (NO_WEIGHT_MS - FULL_WEIGHT_MS) as f64).max(0.0)
}
