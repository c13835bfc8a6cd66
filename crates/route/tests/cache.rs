//! The table's estimate of the engines' prefix caches.

mod common;

use common::{config, estimate, exchange, name, report, request, table};
use route::{
    CHUNK_TOKENS, CacheEvent, ExchangeEstimate, ExchangeFailure, LoadReport, Policy,
    RoutingRequest, UpstreamTable,
};

fn stored(chunks: impl IntoIterator<Item = u64>) -> Vec<CacheEvent> {
    chunks.into_iter().map(CacheEvent::Stored).collect()
}

fn cached_tokens(table: &mut UpstreamTable, chunk_hashes: impl IntoIterator<Item = u64>) -> u32 {
    let chunk_hashes: Vec<u64> = chunk_hashes.into_iter().collect();
    let request = RoutingRequest {
        prompt_tokens: chunk_hashes.len() as u32 * CHUNK_TOKENS + 10,
        chunk_hashes,
        ..request()
    };
    table
        .choose(0, &request, Policy::CostBased)
        .unwrap()
        .cached_tokens
}

/// Guards against cached chunks that count although an earlier chunk of the prompt is missing.
#[test]
fn only_leading_chunks_count() {
    let mut table = table(1, &config(1, 0, 1));
    table.on_cache_events(&name("e0"), 1, &stored([1, 2, 4]));
    assert_eq!(cached_tokens(&mut table, 1..=4), 2 * CHUNK_TOKENS);
    table.on_cache_events(&name("e0"), 4, &[CacheEvent::Evicted(1)]);
    assert_eq!(cached_tokens(&mut table, 1..=4), 0);
}

/// Guards against duplicates of old events that undo newer events.
#[test]
fn events_seen_before_are_skipped() {
    let mut table = table(1, &config(1, 0, 1));
    let e0 = name("e0");
    table.on_cache_events(&e0, 1, &stored([1, 2]));
    table.on_cache_events(&e0, 3, &[CacheEvent::Evicted(2)]);
    table.on_cache_events(&e0, 1, &stored([1, 2]));
    assert_eq!(cached_tokens(&mut table, 1..=2), CHUNK_TOKENS);
    assert_eq!(table.cache_events_seen(&e0), 3);
    table.on_cache_events(
        &e0,
        2,
        &[
            CacheEvent::Stored(2),
            CacheEvent::Evicted(2),
            CacheEvent::Stored(9),
        ],
    );
    assert_eq!(table.cache_events_seen(&e0), 4);
    assert_eq!(cached_tokens(&mut table, [9]), CHUNK_TOKENS);
}

/// Guards against an index that keeps its full confidence although evictions may have been missed.
#[test]
fn a_gap_lowers_the_confidence_and_new_events_restore_it() {
    let mut table = table(1, &config(1, 0, 1));
    let e0 = name("e0");
    table.on_cache_events(&e0, 1, &stored(1..=20));
    assert_eq!(table.cache_confidence(&e0), 1.0);
    table.on_cache_events(&e0, 31, &[]);
    let after_gap = table.cache_confidence(&e0);
    assert!(after_gap < 1.0);
    assert!(cached_tokens(&mut table, 1..=5) < 5 * CHUNK_TOKENS);
    table.on_cache_events(&e0, 31, &stored(100..130));
    assert!(table.cache_confidence(&e0) > after_gap);
    table.on_cache_events(&e0, 1_000, &[]);
    assert_eq!(
        cached_tokens(&mut table, 1..=5),
        0,
        "so many missed events clear the index"
    );
}

/// Guards against events of a restarted engine that are skipped as duplicates because their numbers restart.
#[test]
fn a_refused_connection_clears_the_expected_cache() {
    let mut table = table(1, &config(2, 0, 1));
    let e0 = name("e0");
    table.on_cache_events(&e0, 1, &stored(1..=5));
    table.on_dispatch(0, exchange(1, 0), &e0, &estimate());
    table.on_failure(0, exchange(1, 0), ExchangeFailure::Connect);
    assert_eq!(table.cache_events_seen(&e0), 0);
    assert_eq!(table.size().cached_chunks, 0);
    table.on_cache_events(&e0, 1, &stored(7..=8));
    assert_eq!(table.size().cached_chunks, 2);
}

/// Guards against dispatches of the instance that do not count as cached until the engine's events arrive.
#[test]
fn own_dispatches_count_as_stored() {
    let mut table = table(1, &config(1, 0, 1));
    let estimate = ExchangeEstimate {
        chunk_hashes: vec![1, 2],
        ..estimate()
    };
    table.on_dispatch(0, exchange(1, 0), &name("e0"), &estimate);
    assert_eq!(cached_tokens(&mut table, 1..=2), 2 * CHUNK_TOKENS);
}

/// Guards against an index that grows beyond the engines' caches, and against stale chunks that stay in the index.
#[test]
fn the_index_is_bounded_by_the_caches() {
    fn property(batches: Vec<(u8, u8, Vec<u8>)>) -> bool {
        let mut table = table(1, &config(3, 0, 1));
        for index in 0..3 {
            let report = LoadReport {
                kv_chunks_total: 10,
                ..report(0, 0)
            };
            table.on_report(0, &name(format!("e{index}")), &report);
        }
        let mut next = [1; 3];
        for (upstream, skipped, chunks) in batches {
            let upstream = upstream as usize % 3;
            next[upstream] += u64::from(skipped % 4);
            let events: Vec<CacheEvent> = chunks
                .iter()
                .map(|chunk| match chunk % 3 {
                    0 => CacheEvent::Evicted(u64::from(chunk / 3)),
                    _ => CacheEvent::Stored(u64::from(chunk / 3)),
                })
                .collect();
            table.on_cache_events(&name(format!("e{upstream}")), next[upstream], &events);
            next[upstream] += events.len() as u64;
        }
        let size = table.size();
        let bounded = size.cached_chunks <= 30 && size.distinct_chunks <= size.cached_chunks;
        table.apply_config(&conf::ServiceConfig::default());
        bounded && table.size().distinct_chunks == 0
    }
    common::check(property as fn(_) -> bool);
}
