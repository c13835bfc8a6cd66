//! A small service configuration.

use conf::{Fencing, Idempotency, Name, ServiceConfig, ServiceKind};

/// Returns a configuration with one plain service and two engines. Different values of `variant` give different
/// contents.
pub fn config(variant: u64) -> ServiceConfig {
    let rank = |name: &str| conf::RankPolicy {
        name: Name::new(name),
        ..conf::RankPolicy::default()
    };
    let upstream = |name: &str, service: &str, port: u16, fencing| conf::Upstream {
        name: Name::new(name),
        service: Name::new(service),
        address: format!("127.0.0.1:{port}").into(),
        availability_zone: "az0".into(),
        fencing,
        ..conf::Upstream::default()
    };
    ServiceConfig {
        ranks: vec![rank("urgent"), rank("normal"), rank("late")],
        client_accounts: vec![conf::ClientAccount {
            name: "parish".into(),
            key_sha256: format!("{variant:064x}").into(),
            ranks: vec!["urgent".into()],
            ..conf::ClientAccount::default()
        }],
        models: vec![conf::Model {
            name: "lang".into(),
            version: "1".into(),
            ..conf::Model::default()
        }],
        services: vec![
            conf::Service {
                name: "rota".into(),
                kind: ServiceKind::Plain,
                ..conf::Service::default()
            },
            conf::Service {
                name: "assistant".into(),
                kind: ServiceKind::Model,
                models: vec!["lang".into()],
            },
        ],
        routes: vec![conf::Route {
            name: "pay".into(),
            path_prefix: "/pay".into(),
            service: "rota".into(),
            idempotency: Idempotency::NonIdempotent,
            ..conf::Route::default()
        }],
        upstreams: vec![
            upstream("rota-1", "rota", 9_000, Fencing::Ignored),
            upstream("lax", "assistant", 9_001, Fencing::Ignored),
            upstream("strict", "assistant", 9_002, Fencing::Enforced),
        ],
    }
}
