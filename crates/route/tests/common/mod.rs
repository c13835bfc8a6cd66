//! Configurations, tables and events for tests.
#![allow(dead_code, reason = "each test uses a part")]

use conf::{Name, Role, Service, ServiceConfig, ServiceKind, Upstream};
use quickcheck::{Gen, QuickCheck, Testable};
use route::{ExchangeEstimate, ExchangeId, LoadReport, RoutingRequest, UpstreamTable};

/// Returns a configuration with a model service `chat` and a plain service `rota`, with upstreams `e0..` and `p0..`
/// spread over `zones` zones.
pub fn config(engines: usize, plain_upstreams: usize, zones: usize) -> ServiceConfig {
    let service = |name: &'static str, kind| Service {
        name: name.into(),
        kind,
        ..Service::default()
    };
    let upstream = |name: String, service: &'static str, index: usize| Upstream {
        name: name.into(),
        service: service.into(),
        availability_zone: format!("z{}", index % zones).into(),
        ..Upstream::default()
    };
    let engines = (0..engines).map(|index| upstream(format!("e{index}"), "chat", index));
    let plain_upstreams =
        (0..plain_upstreams).map(|index| upstream(format!("p{index}"), "rota", index));
    ServiceConfig {
        services: vec![
            service("chat", ServiceKind::Model),
            service("rota", ServiceKind::Plain),
        ],
        upstreams: engines.chain(plain_upstreams).collect(),
        ..ServiceConfig::default()
    }
}

/// Checks a property on 200 cases. The seed is fixed, so that a failure repeats; `SEED` sets another one.
pub fn check<A: Testable>(property: A) {
    let seed = std::env::var("SEED")
        .ok()
        .and_then(|seed| seed.parse().ok());
    let generator = Gen::from_size_and_seed(100, seed.unwrap_or(1));
    QuickCheck::new()
        .rng(generator)
        .tests(200)
        .quickcheck(property);
}

pub fn table(seed: u64, config: &ServiceConfig) -> UpstreamTable {
    let mut table = UpstreamTable::new(seed);
    table.apply_config(config);
    table
}

pub fn report(running: u32, prompt_tokens_waiting: u32) -> LoadReport {
    LoadReport {
        running,
        prompt_tokens_waiting,
        role: Role::Mixed,
        models: vec!["m".into()],
        ..LoadReport::default()
    }
}

pub fn request() -> RoutingRequest {
    RoutingRequest {
        service: "chat".into(),
        model: "m".into(),
        prompt_tokens: 1_000,
        output_tokens: 100,
        rank: 1,
        availability_zone: "z0".into(),
        ..RoutingRequest::default()
    }
}

pub fn estimate() -> ExchangeEstimate {
    ExchangeEstimate {
        client_account: "t".into(),
        model: "m".into(),
        prompt_tokens: 1_000,
        output_tokens: 100,
        ..ExchangeEstimate::default()
    }
}

pub fn exchange(request: u64, attempt: u32) -> ExchangeId {
    ExchangeId { request, attempt }
}

pub fn name(text: impl Into<String>) -> Name {
    Name::from(text.into())
}
