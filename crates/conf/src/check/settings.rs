//! Checks of the settings of an instance.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::{Checker, forbidden_character};
use crate::Settings;
use crate::problem::KeyPath;

/// Numbers of voters that tolerate one or two failures.
const VOTER_COUNTS: [usize; 2] = [3, 5];

impl Checker {
    pub(super) fn check_settings(&mut self, settings: &Settings) {
        self.check_instance(settings);
        self.check_voters(settings);
        self.check_platform(settings);
        self.check_timing(settings);
    }

    fn check_instance(&mut self, settings: &Settings) {
        let instance = &settings.instance;
        let path = KeyPath::section("instance");
        let required = [
            ("id", &instance.id),
            ("admin_token_file", &instance.admin_token_file),
            ("peer_secret_file", &instance.peer_secret_file),
        ];
        for (key, value) in required {
            self.error_unless(!value.is_empty(), path.key(key), "is missing");
        }
        if let Some(character) = forbidden_character(&instance.id, &['/']) {
            self.error(
                path.key("id"),
                format!("the id contains the forbidden character {character:?}"),
            );
        }
        let mut zones = settings.voters.iter().map(|voter| &voter.availability_zone);
        let listed = zones.any(|zone| *zone == instance.availability_zone);
        let has_voters = !settings.voters.is_empty();
        self.check_availability_zone(&path, &instance.availability_zone, has_voters, |_| listed);
        self.check_listeners(settings, &path);
    }

    fn check_listeners(&mut self, settings: &Settings, path: &KeyPath) {
        let instance = &settings.instance;
        let listeners = [
            ("caller_address", &instance.caller_address),
            ("admin_address", &instance.admin_address),
            ("peer_address", &instance.peer_address),
        ];
        let mut earlier_listeners: Vec<(&str, SocketAddr)> = Vec::new();
        for (key, text) in listeners {
            let Some(address) = self.check_address(&path.key(key), text) else {
                continue;
            };
            for (other_key, other_address) in &earlier_listeners {
                let message = format!("must differ from {other_key}");
                self.error_unless(
                    !listeners_conflict(address, *other_address),
                    path.key(key),
                    message,
                );
            }
            earlier_listeners.push((key, address));
            // Other instances connect to the peer address as written, so that 0.0.0.0 and [::] cannot be used.
            let is_connectable = key != "peer_address" || !address.ip().is_unspecified();
            self.error_unless(
                is_connectable,
                path.key(key),
                "must be the address of one host, not an unspecified address",
            );
        }
    }

    fn check_voters(&mut self, settings: &Settings) {
        let voters = &settings.voters;
        let path = KeyPath::section("voters");
        self.check_names("voters", voters.iter().map(|voter| &voter.id), &['/']);
        self.error_unless(
            !voters.is_empty(),
            path.clone(),
            "there must be at least one voter",
        );
        if !voters.is_empty() && !VOTER_COUNTS.contains(&voters.len()) {
            let message = format!(
                "there should be 3 or 5 voters, but there are {}",
                voters.len()
            );
            self.warning(path.clone(), message);
        }
        let zones: BTreeSet<_> = voters
            .iter()
            .map(|voter| &voter.availability_zone)
            .collect();
        if zones.len() == 1 && voters.len() > 1 {
            self.warning(path, "all voters are in one availability zone");
        }
        self.check_voter_addresses(settings);
        self.check_own_voter_entry(settings);
    }

    fn check_voter_addresses(&mut self, settings: &Settings) {
        let mut addresses = BTreeMap::new();
        for voter in &settings.voters {
            let path = KeyPath::item("voters", &voter.id);
            self.check_availability_zone(&path, &voter.availability_zone, false, |_| true);
            let path = path.key("peer_address");
            let Some(address) = self.check_address(&path, &voter.peer_address) else {
                continue;
            };
            if let Some(earlier) = addresses.insert(address, &voter.id) {
                self.error(path, format!("voter `{earlier}` has the same address"));
            }
        }
    }

    /// Checks that no other voter has the peer address of the instance. If the instance is a voter, checks that it has
    /// a data folder and that its peer address and zone are those of its entry in the voter list.
    fn check_own_voter_entry(&mut self, settings: &Settings) {
        let instance = &settings.instance;
        let path = KeyPath::section("instance");
        for voter in &settings.voters {
            if voter.id != instance.id {
                let same = voter.peer_address == instance.peer_address;
                let message = format!("voter `{}` has the same address", voter.id);
                self.error_unless(
                    !same || voter.peer_address.is_empty(),
                    path.key("peer_address"),
                    message,
                );
                continue;
            }
            let message = "a voter needs a data folder";
            self.error_unless(
                !instance.data_folder.is_empty(),
                path.key("data_folder"),
                message,
            );
            let message = "differs from the value in the voter list";
            let same = voter.peer_address == instance.peer_address;
            self.error_unless(same, path.key("peer_address"), message);
            let same = voter.availability_zone == instance.availability_zone;
            self.error_unless(same, path.key("availability_zone"), message);
        }
    }

    fn check_platform(&mut self, settings: &Settings) {
        let path = KeyPath::section("platform");
        let urls = [
            ("list_url", &settings.platform.list_url),
            ("weight_store_url", &settings.platform.weight_store_url),
        ];
        for (key, url) in urls.into_iter().filter(|(_, url)| !url.is_empty()) {
            let message = "must be http://IP:PORT, with or without a path";
            self.error_unless(is_http_url(url), path.key(key), message);
        }
    }

    fn check_timing(&mut self, settings: &Settings) {
        let timing = &settings.timing;
        let path = KeyPath::section("timing");
        let minimums = [
            (
                "config_lease_ms",
                timing.config_lease_ms,
                "report_interval_ms",
                timing.report_interval_ms,
            ),
            (
                "gate_lease_ms",
                timing.gate_lease_ms,
                "report_interval_ms",
                timing.report_interval_ms,
            ),
            (
                "election_timeout_min_ms",
                timing.election_timeout_min_ms,
                "heartbeat_interval_ms",
                timing.heartbeat_interval_ms,
            ),
            (
                "election_timeout_max_ms",
                timing.election_timeout_max_ms,
                "election_timeout_min_ms",
                timing.election_timeout_min_ms,
            ),
        ];
        for (longer, longer_ms, shorter, shorter_ms) in minimums {
            let message = format!("must be longer than {shorter} ({shorter_ms})");
            self.error_unless(longer_ms > shorter_ms, path.key(longer), message);
        }
    }
}

fn is_http_url(url: &str) -> bool {
    let Some(rest) = url.strip_prefix("http://") else {
        return false;
    };
    let authority = rest.split('/').next().unwrap_or_default();
    let is_printable = rest.bytes().all(|byte| byte.is_ascii_graphic());
    let address = authority.parse::<SocketAddr>();
    is_printable && address.is_ok_and(|address| address.port() != 0)
}

/// Returns whether two listeners conflict: the same port on the same IP address, or on an unspecified one.
fn listeners_conflict(one: SocketAddr, other: SocketAddr) -> bool {
    let same_ip = one.ip() == other.ip();
    let any_ip = one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() == other.port() && (same_ip || any_ip)
}
