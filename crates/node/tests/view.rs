//! Tests of the configuration that the callers' listener uses.

mod support;

use std::sync::Arc;

use conf::Name;
use http::Method;
use node::view::{CallerConfig, RouteMatch};
use support::{KEY, service_config};

/// Guards against a key that is accepted because only a part of its digest matches.
#[test]
fn a_key_must_match_the_whole_digest() {
    let mut config = service_config();
    let digest = support::key_sha256();
    let last = if digest.ends_with('0') { "1" } else { "0" };
    let altered = format!("{}{last}", &digest[..63]);
    config.client_accounts[0].key_sha256 = Name::from(altered);
    let caller_config = CallerConfig::new(&Arc::new(config.clone()));
    assert_eq!(caller_config.client_account(KEY), None);
    config.client_accounts.push(conf::ClientAccount {
        name: "trust".into(),
        key_sha256: digest.into(),
        ..Default::default()
    });
    let caller_config = CallerConfig::new(&Arc::new(config));
    assert_eq!(caller_config.client_account(KEY).unwrap(), "trust");
}

/// Guards against a route that matches paths whose first segments only begin with the same letters.
#[test]
fn a_prefix_ends_at_a_segment() {
    let caller_config = CallerConfig::new(&Arc::new(service_config()));
    let route = |method, path| match caller_config.route(&method, path) {
        RouteMatch::Found(route) => route.name,
        other => Name::from(format!("{other:?}")),
    };
    assert_eq!(route(Method::GET, "/rota/plan"), "plan");
    assert_eq!(route(Method::GET, "/rota/plan/week"), "plan");
    assert_eq!(route(Method::GET, "/rota/planning"), "swap");
    assert_eq!(route(Method::POST, "/rota/plan"), "swap");
    assert_eq!(route(Method::PUT, "/rota/plan"), "WrongMethod");
    assert_eq!(route(Method::GET, "/rotation"), "Unknown");
}
