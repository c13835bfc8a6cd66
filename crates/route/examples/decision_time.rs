//! Prints the time of one choice and the size of the state at several fleet sizes.

use std::time::Instant;

use conf::{Service, ServiceConfig, Upstream};
use route::{CHUNK_TOKENS, CacheEvent, LoadReport, Policy, RoutingRequest, UpstreamTable};

const CHOICES: usize = 200_000;
const CHUNKS_PER_UPSTREAM: u64 = 64;

fn fleet(upstreams: usize) -> ServiceConfig {
    let upstream = |index: usize| Upstream {
        name: format!("engine-{index}").into(),
        service: "chat".into(),
        availability_zone: format!("zone-{}", index % 3).into(),
        ..Upstream::default()
    };
    ServiceConfig {
        services: vec![Service {
            name: "chat".into(),
            models: vec!["m".into()],
            ..Service::default()
        }],
        upstreams: (0..upstreams).map(upstream).collect(),
        ..ServiceConfig::default()
    }
}

/// Returns a table in which every engine has reported and holds 64 chunks. In a full fleet no engine has a free batch
/// slot.
fn table(config: &ServiceConfig, full: bool) -> UpstreamTable {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut table = UpstreamTable::new(2);
    table.apply_config(config);
    for upstream in &config.upstreams {
        let report = LoadReport {
            age_ms: rng.u64(0..300),
            running: if full { 40 } else { rng.u32(0..30) },
            prompt_tokens_waiting: rng.u32(0..30_000),
            kv_chunks_total: CHUNKS_PER_UPSTREAM as u32,
            models: vec!["m".into()],
            ..LoadReport::default()
        };
        table.on_report(1_000, &upstream.name, &report);
        let documents = config.upstreams.len() as u64 * 4;
        for number in 0..8 {
            let document = rng.u64(..documents);
            let stored: Vec<CacheEvent> = chunk_hashes(document).map(CacheEvent::Stored).collect();
            table.on_cache_events(&upstream.name, number * 8 + 1, &stored);
        }
    }
    table
}

fn chunk_hashes(document: u64) -> impl Iterator<Item = u64> {
    (0..8).map(move |chunk| (document * 8 + chunk).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn request(rng: &mut fastrand::Rng, upstreams: usize) -> RoutingRequest {
    let document = rng.u64(..upstreams as u64 * 4);
    RoutingRequest {
        service: "chat".into(),
        model: "m".into(),
        prompt_tokens: 8 * CHUNK_TOKENS + 100,
        chunk_hashes: chunk_hashes(document).collect(),
        output_tokens: 100,
        rank: 1,
        availability_zone: format!("zone-{}", rng.u32(0..3)).into(),
        ..RoutingRequest::default()
    }
}

fn main() {
    println!(
        "| upstreams | fleet | mean µs | p99 µs | chosen % | bytes per upstream | bytes per cached chunk |"
    );
    println!("|---|---|---|---|---|---|---|");
    for upstreams in [13, 186, 650, 1_300] {
        for full in [false, true] {
            let config = fleet(upstreams);
            let mut table = table(&config, full);
            let mut rng = fastrand::Rng::with_seed(3);
            let requests: Vec<RoutingRequest> =
                (0..1_000).map(|_| request(&mut rng, upstreams)).collect();
            let mut times_ns = Vec::with_capacity(CHOICES);
            let mut chosen = 0;
            for index in 0..CHOICES {
                let request = &requests[index % requests.len()];
                let start = Instant::now();
                let choice = table.choose(1_100, request, Policy::CostBased);
                times_ns.push(start.elapsed().as_nanos() as u64);
                chosen += usize::from(choice.is_some());
            }
            times_ns.sort_unstable();
            let mean = times_ns.iter().sum::<u64>() as f64 / CHOICES as f64;
            let p99 = times_ns[CHOICES * 99 / 100];
            let size = table.size();
            println!(
                "| {upstreams} | {} | {:.2} | {:.2} | {:.0} | {} | {} |",
                if full { "full" } else { "half loaded" },
                mean / 1_000.0,
                p99 as f64 / 1_000.0,
                chosen as f64 * 100.0 / CHOICES as f64,
                size.upstream_bytes / size.upstreams,
                size.cached_chunk_bytes / size.cached_chunks,
            );
        }
    }
}
