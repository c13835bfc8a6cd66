//! Load reports, digests and cache events of upstreams.

use conf::Name;
use fleet::LoadDigest;
use route::Presence;

use crate::effect::{Component, Effect, Level};
use crate::event::{CacheEvent, LoadReport};
use crate::state::{State, log};

/// Updates the routing table from an upstream's load report, or marks the upstream unreachable if the read failed.
pub(crate) fn on_load(
    state: &mut State,
    upstream: &Name,
    report: Option<LoadReport>,
    effects: &mut Vec<Effect>,
) {
    let now_ms = state.now_ms;
    state.read_timers.on_load(now_ms, upstream);
    let Some(report) = report else {
        state.loads.remove(upstream);
        return state.routing_table.on_unreachable(now_ms, upstream);
    };
    let presence = match report.leaving {
        true => Presence::Leaving,
        false => Presence::Live,
    };
    if report.leaving && state.routing_table.accepts(now_ms, upstream) {
        log(
            effects,
            Level::Info,
            Component::Route,
            format!("upstream {upstream} reports that it is leaving the fleet"),
        );
    }
    state
        .routing_table
        .set_observed_presence(upstream, presence);
    state.loads.insert(upstream.clone(), report.clone());
    state
        .routing_table
        .on_report(now_ms, upstream, &route_report(report));
}

/// Updates the routing table from the load digests of another instance.
pub(crate) fn on_digest(state: &mut State, digests: &[LoadDigest]) {
    for digest in digests {
        let route_digest = route::LoadDigest {
            age_ms: digest.age_ms,
            running: digest.running,
            waiting: digest.waiting,
            prompt_tokens_waiting: digest.prompt_tokens_waiting,
            kv_chunks_used: digest.kv_chunks_used,
        };
        state
            .routing_table
            .on_digest(state.now_ms, &digest.upstream, &route_digest);
    }
}

/// Updates the routing table from changes of an engine's prefix cache.
pub(crate) fn on_cache_events(
    state: &mut State,
    upstream: &Name,
    first: u64,
    events: &[CacheEvent],
) {
    state.read_timers.on_cache_events(state.now_ms, upstream);
    let events: Vec<route::CacheEvent> = events
        .iter()
        .map(|event| match event {
            CacheEvent::Stored { chunk_hash } => route::CacheEvent::Stored(*chunk_hash),
            CacheEvent::Evicted { chunk_hash } => route::CacheEvent::Evicted(*chunk_hash),
        })
        .collect();
    state
        .routing_table
        .on_cache_events(upstream, first, &events);
}

fn route_report(report: LoadReport) -> route::LoadReport {
    route::LoadReport {
        age_ms: report.age_ms,
        running: report.running,
        waiting: report.waiting,
        prompt_tokens_waiting: report.prompt_tokens_waiting,
        output_tokens_running: report.output_tokens_running,
        kv_chunks_used: report.kv_chunks_used,
        kv_chunks_total: report.kv_chunks_total,
        role: report.role.unwrap_or_default(),
        models: report.models,
    }
}
