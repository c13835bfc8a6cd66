//! The work that callers ask of services whose upstreams are ordered by demand: measured by entries, summed by replicas.

use std::collections::VecDeque;

use conf::{Map, Name};
use fleet::ServiceRate;

/// Length of a measuring interval, in milliseconds.
const BUCKET_MS: u64 = 500;
/// Measuring intervals in the window over which rates are averaged: 2 s, in which an entry with 10 requests per second
/// still has enough of them.
const BUCKETS: usize = 4;
/// Age above which the rates of an entry or replica no longer count, in milliseconds. Both send a message at least each
/// second.
const RATES_MAX_AGE_MS: u64 = 2_500;

/// A request as far as demand is concerned.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandedWork {
    /// Number of requests.
    pub requests: u32,
    /// Prompt tokens that are not expected to be cached.
    pub prompt_tokens: u32,
    /// Largest number of tokens that may be generated.
    pub output_tokens: u32,
    /// Number of requests that were refused for lack of capacity or began after their objective.
    pub late_requests: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    requests: f64,
    prompt_tokens: f64,
    output_tokens: f64,
    late_requests: f64,
}

/// Measures the demand at one entry.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    /// Totals of each service by interval, latest last, each interval with its number.
    buckets: Map<Name, VecDeque<(u64, Totals)>>,
}

impl DemandMeter {
    /// Counts work for a service.
    pub fn add(&mut self, now_ms: u64, service: &Name, work: DemandedWork) {
        let bucket = now_ms / BUCKET_MS;
        let buckets = self.buckets.entry(service.clone()).or_default();
        if buckets.back().is_none_or(|(number, _)| *number != bucket) {
            buckets.push_back((bucket, Totals::default()));
            if buckets.len() > BUCKETS + 1 {
                buckets.pop_front();
            }
        }
        if let Some((_, totals)) = buckets.back_mut() {
            totals.requests += f64::from(work.requests);
            totals.prompt_tokens += f64::from(work.prompt_tokens);
            totals.output_tokens += f64::from(work.output_tokens);
            totals.late_requests += f64::from(work.late_requests);
        }
    }

    /// Returns the rates of all services that had requests in the window, and forgets the others.
    pub fn rates(&mut self, now_ms: u64, zone: &Name) -> Vec<ServiceRate> {
        let oldest = (now_ms / BUCKET_MS).saturating_sub(BUCKETS as u64);
        self.buckets.retain(|_, buckets| {
            buckets.retain(|(number, _)| *number >= oldest);
            !buckets.is_empty()
        });
        let window_s = (BUCKETS as u64 * BUCKET_MS + now_ms % BUCKET_MS) as f64 / 1_000.0;
        let rate = |service: &Name, buckets: &VecDeque<(u64, Totals)>| {
            let sum = |field: fn(&Totals) -> f64| {
                buckets.iter().map(|(_, totals)| field(totals)).sum::<f64>() / window_s
            };
            ServiceRate {
                service: service.clone(),
                availability_zone: zone.clone(),
                requests_per_s: sum(|totals| totals.requests),
                prompt_tokens_per_s: sum(|totals| totals.prompt_tokens),
                output_tokens_per_s: sum(|totals| totals.output_tokens),
                late_requests_per_s: sum(|totals| totals.late_requests),
            }
        };
        let rates = self.buckets.iter();
        rates
            .map(|(service, buckets)| rate(service, buckets))
            .collect()
    }
}

#[derive(Clone, Debug)]
struct SourceRates {
    received_ms: u64,
    is_entry: bool,
    rates: Vec<ServiceRate>,
}

/// The latest rates of entries and other replicas.
#[derive(Clone, Debug, Default)]
pub struct ReportedDemand {
    sources: Map<Name, SourceRates>,
}

impl ReportedDemand {
    /// Records the rates of an entry, or those that another replica has summed.
    pub fn on_report(&mut self, now_ms: u64, from: &Name, is_entry: bool, rates: Vec<ServiceRate>) {
        if rates.is_empty() {
            self.sources.remove(from);
            return;
        }
        let reported = SourceRates {
            received_ms: now_ms,
            is_entry,
            rates,
        };
        self.sources.insert(from.clone(), reported);
    }

    /// Returns the sums over this replica's own entries, which it sends to the leader.
    pub fn own_sums(&mut self, now_ms: u64) -> Vec<ServiceRate> {
        self.sums(now_ms, |source| source.is_entry)
    }

    /// Returns the sums over all entries and replicas.
    pub fn total_sums(&mut self, now_ms: u64) -> Vec<ServiceRate> {
        self.sums(now_ms, |_| true)
    }

    fn sums(&mut self, now_ms: u64, counts: impl Fn(&SourceRates) -> bool) -> Vec<ServiceRate> {
        self.sources
            .retain(|_, source| now_ms.saturating_sub(source.received_ms) <= RATES_MAX_AGE_MS);
        let mut sums: Map<(Name, Name), ServiceRate> = Map::default();
        let counted = self.sources.values().filter(|source| counts(source));
        for rate in counted.flat_map(|source| &source.rates) {
            let key = (rate.service.clone(), rate.availability_zone.clone());
            let sum = sums.entry(key).or_insert_with(|| ServiceRate {
                service: rate.service.clone(),
                availability_zone: rate.availability_zone.clone(),
                ..ServiceRate::default()
            });
            sum.requests_per_s += rate.requests_per_s;
            sum.prompt_tokens_per_s += rate.prompt_tokens_per_s;
            sum.output_tokens_per_s += rate.output_tokens_per_s;
            sum.late_requests_per_s += rate.late_requests_per_s;
        }
        sums.into_values().collect()
    }
}
