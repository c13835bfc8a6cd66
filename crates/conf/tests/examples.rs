//! Guards against example folders that are invalid or that no longer match the deployments of the design page.

use std::collections::BTreeSet;

use conf::{ServiceKind, load};

struct Deployment {
    folder: &'static str,
    voters: usize,
    engines: usize,
    workers: usize,
}

#[test]
fn examples_are_valid() {
    check(&Deployment {
        folder: "cooperative",
        voters: 3,
        engines: 10,
        workers: 3,
    });
    check(&Deployment {
        folder: "trust",
        voters: 5,
        engines: 20,
        workers: 3,
    });
}

fn check(expected: &Deployment) {
    let folder = format!("../../examples/{}", expected.folder);
    let settings = load::settings(format!("{folder}/settings")).unwrap();
    let service = load::service(format!("{folder}/service")).unwrap();
    assert_eq!(settings.warnings, []);
    assert_eq!(service.warnings, []);
    assert_eq!(settings.overrides, []);
    assert_eq!(service.overrides, []);
    assert_eq!(settings.value.voters.len(), expected.voters);
    let config = service.value;
    let count_upstreams = |kind| {
        let services = config
            .services
            .iter()
            .filter(|service| service.kind == kind);
        let names: Vec<_> = services.map(|service| &service.name).collect();
        config
            .upstreams
            .iter()
            .filter(|upstream| names.contains(&&upstream.service))
            .count()
    };
    assert_eq!(count_upstreams(ServiceKind::Model), expected.engines);
    assert_eq!(count_upstreams(ServiceKind::Plain), expected.workers);
    let zones = |names: Vec<&conf::Name>| names.into_iter().cloned().collect::<BTreeSet<_>>();
    let upstream_zones = config
        .upstreams
        .iter()
        .map(|upstream| &upstream.availability_zone);
    let voter_zones = settings
        .value
        .voters
        .iter()
        .map(|voter| &voter.availability_zone);
    assert_eq!(
        zones(upstream_zones.collect()),
        zones(voter_zones.collect())
    );
    // The documented API key of each client account is its name followed by `-example-key`.
    for client_account in &config.client_accounts {
        let key = format!("{}-example-key", client_account.name);
        assert_eq!(client_account.key_sha256, conf::content_id(&key));
    }
}
