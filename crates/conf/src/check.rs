//! Checks of a merged configuration: ranges, references, identities and timings.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::Serialize;
use serde_json::Value;

use crate::keys::{self, Section, Shape};
use crate::problem::{Path, Problem};
use crate::service::RANK_COUNT;
use crate::{
    Idempotency, Model, Name, RankPolicy, Role, Route, Service, ServiceConfig, ServiceKind,
    Settings, Tenant, Upstream,
};

/// Tolerance for the sum of the floors, so that 0.7 + 0.2 + 0.1 counts as 1.
const FLOOR_SUM_TOLERANCE: f64 = 1e-9;
/// Length of a SHA-256 in hexadecimal digits.
const SHA256_DIGITS: usize = 64;
/// Paths that the system answers itself.
const RESERVED_PATHS: [&str; 6] = [
    "/v1/chat/completions",
    "/v1/models",
    "/healthz",
    "/readyz",
    "/metrics",
    "/admin",
];
/// Sizes of the voter set that tolerate one or two failures.
const VOTER_COUNTS: [usize; 2] = [3, 5];

/// Checks a service configuration and returns everything found wrong.
pub fn service(config: &ServiceConfig) -> Vec<Problem> {
    let mut checker = Checker::default();
    checker.ranges(keys::SERVICE, config);
    checker.ranks(&config.ranks);
    checker.tenants(config);
    checker.models(config);
    checker.services(config);
    checker.routes(config);
    checker.upstreams(config);
    checker.problems
}

/// Checks the settings of an instance and returns everything found wrong.
pub fn settings(settings: &Settings) -> Vec<Problem> {
    let mut checker = Checker::default();
    checker.ranges(keys::SETTINGS, settings);
    checker.instance(settings);
    checker.voters(settings);
    checker.platform(settings);
    checker.timing(settings);
    checker.problems
}

#[derive(Default)]
struct Checker {
    problems: Vec<Problem>,
}

impl Checker {
    fn error(&mut self, path: Path, message: impl Into<String>) {
        self.problems.push(Problem::error(path, message));
    }

    fn warning(&mut self, path: Path, message: impl Into<String>) {
        self.problems.push(Problem::warning(path, message));
    }

    fn error_unless(&mut self, holds: bool, path: Path, message: impl Into<String>) {
        if !holds {
            self.error(path, message);
        }
    }

    /// Checks every value against the kind of its key.
    fn ranges<T: Serialize>(&mut self, sections: &'static [Section], config: &T) {
        let whole = serde_json::to_value(config).unwrap_or_default();
        for section in sections {
            let value = &whole[section.name];
            match section.shape {
                Shape::Table => self.item_ranges(section, &Path::section(section.name), value),
                Shape::List { id } => {
                    for item in value.as_array().into_iter().flatten() {
                        let name = Name::new(item[id].as_str().unwrap_or_default());
                        self.item_ranges(section, &Path::item(section.name, &name), item);
                    }
                }
            }
        }
    }

    fn item_ranges(&mut self, section: &'static Section, path: &Path, item: &Value) {
        for key in section.keys {
            let value = &item[key.name];
            if let Err(message) = key.kind.accept(value) {
                self.error(path.key(key.name), format!("{message}, but is {value}"));
            }
        }
    }

    /// Checks the names of a list: present, printable and unique.
    fn names<'a>(
        &mut self,
        section: &'static str,
        names: impl Iterator<Item = &'a Name>,
        reserved: &[char],
    ) {
        let mut seen = BTreeSet::new();
        for name in names {
            let path = Path::item(section, name);
            if name.is_empty() {
                self.error(path, "an item has no name");
                continue;
            }
            if let Some(found) = forbidden_character(name, reserved) {
                self.error(path.clone(), format!("the name contains {found:?}"));
            }
            if !seen.insert(name) {
                self.error(path, "the name is used twice");
            }
        }
    }

    fn ranks(&mut self, ranks: &[RankPolicy]) {
        self.names("ranks", ranks.iter().map(|rank| &rank.name), &[]);
        self.error_unless(
            ranks.len() == RANK_COUNT,
            Path::section("ranks"),
            format!(
                "there must be exactly {RANK_COUNT}, but there are {}",
                ranks.len()
            ),
        );
        let floors: f64 = ranks.iter().map(|rank| rank.floor).sum();
        self.error_unless(
            floors <= 1.0 + FLOOR_SUM_TOLERANCE,
            Path::section("ranks"),
            format!("the floors add up to {floors}, which is more than 1"),
        );
        for rank in ranks {
            self.error_unless(
                rank.target_total_ms >= rank.target_first_token_ms,
                Path::item("ranks", &rank.name).key("target_total_ms"),
                "must be at least target_first_token_ms",
            );
        }
    }

    fn tenants(&mut self, config: &ServiceConfig) {
        self.names(
            "tenants",
            config.tenants.iter().map(|tenant| &tenant.name),
            &[],
        );
        let mut keys = BTreeMap::new();
        for tenant in &config.tenants {
            let path = Path::item("tenants", &tenant.name);
            self.tenant_ranks(config, tenant, &path);
            self.error_unless(
                is_sha256(&tenant.key_sha256),
                path.key("key_sha256"),
                "must be 64 lower-case hexadecimal digits",
            );
            let earlier = keys.insert(&tenant.key_sha256, &tenant.name);
            if let Some(earlier) = earlier.filter(|_| !tenant.key_sha256.is_empty()) {
                let message = format!("tenant `{earlier}` has the same key");
                self.error(path.key("key_sha256"), message);
            }
        }
    }

    fn tenant_ranks(&mut self, config: &ServiceConfig, tenant: &Tenant, path: &Path) {
        let known = config.ranks.iter().map(|rank| &rank.name);
        let known: Vec<_> = known.collect();
        self.references(&path.key("ranks"), "rank", &tenant.ranks, &known);
        self.error_unless(
            !tenant.ranks.is_empty(),
            path.key("ranks"),
            "must name at least one rank",
        );
    }

    fn models(&mut self, config: &ServiceConfig) {
        let names = config.models.iter().map(|model| &model.name);
        self.names("models", names, &[':', '@']);
        for model in &config.models {
            let path = Path::item("models", &model.name);
            self.adapters(model, &path);
            self.error_unless(!model.version.is_empty(), path.key("version"), "is missing");
            if forbidden_character(&model.version, &[':', '@']).is_some() {
                let message = format!("`{}` contains a forbidden character", model.version);
                self.error(path.key("version"), message);
            }
            let mut services = config.services.iter();
            if !services.any(|service| service.models.contains(&model.name)) {
                self.warning(path, "no service serves this model");
            }
        }
    }

    fn adapters(&mut self, model: &Model, path: &Path) {
        self.once(&path.key("adapters"), &model.adapters);
        for adapter in &model.adapters {
            let valid = !adapter.is_empty() && forbidden_character(adapter, &[':', '@']).is_none();
            let message = format!("`{adapter}` is empty or contains a forbidden character");
            self.error_unless(valid, path.key("adapters"), message);
        }
    }

    fn services(&mut self, config: &ServiceConfig) {
        self.names(
            "services",
            config.services.iter().map(|service| &service.name),
            &[],
        );
        let models: Vec<_> = config.models.iter().map(|model| &model.name).collect();
        for service in &config.services {
            let path = Path::item("services", &service.name);
            self.references(&path.key("models"), "model", &service.models, &models);
            match service.kind {
                ServiceKind::Model => self.model_service(config, service, &path),
                ServiceKind::Plain => self.plain_service(config, service, &path),
            }
        }
    }

    fn model_service(&mut self, config: &ServiceConfig, service: &Service, path: &Path) {
        self.error_unless(
            !service.models.is_empty(),
            path.key("models"),
            "a model service must name at least one model",
        );
        let upstreams = config.upstreams.iter();
        let roles: Vec<Role> = upstreams
            .filter(|upstream| upstream.service == service.name)
            .map(|upstream| upstream.role)
            .collect();
        if roles.is_empty() {
            self.warning(path.clone(), "no upstream belongs to this service");
            return;
        }
        let computes_prompts = roles.iter().any(|role| *role != Role::Decode);
        let generates_output = roles.iter().any(|role| *role != Role::Prefill);
        self.error_unless(
            computes_prompts,
            path.clone(),
            "has decode upstreams, but no prefill or mixed one",
        );
        self.error_unless(
            generates_output,
            path.clone(),
            "has prefill upstreams, but no decode or mixed one",
        );
    }

    fn plain_service(&mut self, config: &ServiceConfig, service: &Service, path: &Path) {
        self.error_unless(
            service.models.is_empty(),
            path.key("models"),
            "a plain service has no models",
        );
        let name = &service.name;
        if !config
            .upstreams
            .iter()
            .any(|upstream| upstream.service == *name)
        {
            self.warning(path.clone(), "no upstream belongs to this service");
        }
        if !config.routes.iter().any(|route| route.service == *name) {
            self.warning(path.clone(), "no route leads to this service");
        }
    }

    fn routes(&mut self, config: &ServiceConfig) {
        self.names("routes", config.routes.iter().map(|route| &route.name), &[]);
        let mut prefixes = BTreeMap::new();
        for route in &config.routes {
            let path = Path::item("routes", &route.name);
            self.path_prefix(route, &path);
            self.route_references(config, route, &path);
            self.route_limits(route, &path);
            let prefix = route.path_prefix.trim_end_matches('/');
            if let Some(earlier) = prefixes.insert(prefix, &route.name) {
                let message = format!("route `{earlier}` has the same prefix");
                self.error(path.key("path_prefix"), message);
            }
        }
    }

    fn path_prefix(&mut self, route: &Route, path: &Path) {
        let prefix = route.path_prefix.as_str();
        let unreserved = |byte: u8| byte.is_ascii_graphic() && !b"?#\"<>\\^`{|}".contains(&byte);
        self.error_unless(
            prefix.starts_with('/') && prefix.bytes().all(unreserved),
            path.key("path_prefix"),
            "must be a URL path that starts with `/`",
        );
        let reserved = RESERVED_PATHS.iter().find(|path| {
            let rest = prefix.strip_prefix(**path);
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        });
        if let Some(reserved) = reserved {
            let message = format!("`{reserved}` is answered by the system itself");
            self.error(path.key("path_prefix"), message);
        }
    }

    fn route_references(&mut self, config: &ServiceConfig, route: &Route, path: &Path) {
        let mut services = config.services.iter();
        match services.find(|service| service.name == route.service) {
            Some(service) => self.error_unless(
                service.kind == ServiceKind::Plain,
                path.key("service"),
                format!("`{}` is not a plain service", route.service),
            ),
            None => self.unknown_service(config, &route.service, path),
        }
        let ranks: Vec<_> = config.ranks.iter().map(|rank| &rank.name).collect();
        if !route.rank.is_empty() {
            let rank = std::slice::from_ref(&route.rank);
            self.references(&path.key("rank"), "rank", rank, &ranks);
        }
    }

    fn route_limits(&mut self, route: &Route, path: &Path) {
        self.once(&path.key("methods"), &route.methods);
        for method in &route.methods {
            let valid = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
            let message = format!("`{method}` is not an HTTP method in capital letters");
            self.error_unless(valid, path.key("methods"), message);
        }
        let repeatable = route.idempotency == Idempotency::Idempotent;
        self.error_unless(
            repeatable || route.key_retention_ms >= route.timeout_ms,
            path.key("key_retention_ms"),
            "must be at least timeout_ms",
        );
    }

    fn upstreams(&mut self, config: &ServiceConfig) {
        let names = config.upstreams.iter().map(|upstream| &upstream.name);
        self.names("upstreams", names, &[]);
        let services: BTreeSet<_> = config
            .services
            .iter()
            .map(|service| &service.name)
            .collect();
        let mut zones = BTreeMap::<_, usize>::new();
        for upstream in &config.upstreams {
            *zones.entry(&upstream.availability_zone).or_default() += 1;
        }
        let mut addresses = BTreeMap::new();
        for upstream in &config.upstreams {
            let path = Path::item("upstreams", &upstream.name);
            if !services.contains(&upstream.service) {
                self.unknown_service(config, &upstream.service, &path);
            }
            self.zone(
                &path,
                &upstream.availability_zone,
                zones.len() > 1,
                |zone| zones.get(zone) > Some(&1),
            );
            self.upstream_address(upstream, &path, &mut addresses);
        }
    }

    fn upstream_address<'a>(
        &mut self,
        upstream: &'a Upstream,
        path: &Path,
        addresses: &mut BTreeMap<SocketAddr, &'a Name>,
    ) {
        let path = path.key("address");
        let Some(address) = self.address(&path, &upstream.address) else {
            return;
        };
        if address.ip().is_unspecified() {
            self.error(path.clone(), "must name one host");
        }
        if let Some(earlier) = addresses.insert(address, &upstream.name) {
            self.error(path, format!("upstream `{earlier}` has the same address"));
        }
    }

    fn unknown_service(&mut self, config: &ServiceConfig, service: &Name, path: &Path) {
        let known: Vec<_> = config
            .services
            .iter()
            .map(|service| &service.name)
            .collect();
        let service = std::slice::from_ref(service);
        self.references(&path.key("service"), "service", service, &known);
    }

    /// Checks that every name is known, and that none is written twice.
    fn references(&mut self, path: &Path, what: &str, names: &[Name], known: &[&Name]) {
        self.once(path, names);
        for name in names.iter().filter(|name| !known.contains(name)) {
            let message = match nearest(name, known) {
                Some(nearest) => format!("unknown {what} `{name}`; the nearest is `{nearest}`"),
                None => format!("unknown {what} `{name}`"),
            };
            self.error(path.clone(), message);
        }
    }

    fn once(&mut self, path: &Path, names: &[Name]) {
        let mut seen = BTreeSet::new();
        for name in names.iter().filter(|name| !seen.insert(*name)) {
            self.error(path.clone(), format!("`{name}` is written twice"));
        }
    }

    /// Checks an availability zone. One that only this item names may be a typing error.
    fn zone(&mut self, path: &Path, zone: &Name, several: bool, known: impl Fn(&Name) -> bool) {
        let path = path.key("availability_zone");
        if zone.is_empty() {
            self.error(path, "is missing");
        } else if several && !known(zone) {
            self.warning(
                path,
                format!("availability zone `{zone}` is named nowhere else"),
            );
        }
    }

    fn address(&mut self, path: &Path, text: &Name) -> Option<SocketAddr> {
        let address = text.parse::<SocketAddr>().ok();
        let address = address.filter(|address| address.port() != 0);
        let message = match text.is_empty() {
            true => "is missing; it must be an IP address and port".to_owned(),
            false => format!("must be an IP address and port, but is `{text}`"),
        };
        self.error_unless(address.is_some(), path.clone(), message);
        address
    }

    fn instance(&mut self, settings: &Settings) {
        let instance = &settings.instance;
        let path = Path::section("instance");
        let required = [
            ("id", &instance.id),
            ("admin_token_file", &instance.admin_token_file),
            ("peer_secret_file", &instance.peer_secret_file),
        ];
        for (key, value) in required {
            self.error_unless(!value.is_empty(), path.key(key), "is missing");
        }
        if let Some(found) = forbidden_character(&instance.id, &['/']) {
            self.error(path.key("id"), format!("contains {found:?}"));
        }
        let mut zones = settings.voters.iter().map(|voter| &voter.availability_zone);
        let named = zones.any(|zone| *zone == instance.availability_zone);
        let several = !settings.voters.is_empty();
        self.zone(&path, &instance.availability_zone, several, |_| named);
        self.listeners(settings, &path);
    }

    fn listeners(&mut self, settings: &Settings, path: &Path) {
        let instance = &settings.instance;
        let listeners = [
            ("caller_address", &instance.caller_address),
            ("admin_address", &instance.admin_address),
            ("peer_address", &instance.peer_address),
        ];
        let mut taken: Vec<(&str, SocketAddr)> = Vec::new();
        for (key, text) in listeners {
            let Some(address) = self.address(&path.key(key), text) else {
                continue;
            };
            for (other, used) in &taken {
                let message = format!("must differ from {other}");
                self.error_unless(!overlap(address, *used), path.key(key), message);
            }
            taken.push((key, address));
            // Other instances connect to the peer address as it is written.
            let reachable = key != "peer_address" || !address.ip().is_unspecified();
            self.error_unless(reachable, path.key(key), "must name one host");
        }
    }

    fn voters(&mut self, settings: &Settings) {
        let voters = &settings.voters;
        let path = Path::section("voters");
        self.names("voters", voters.iter().map(|voter| &voter.id), &['/']);
        self.error_unless(
            !voters.is_empty(),
            path.clone(),
            "there must be at least one",
        );
        if !voters.is_empty() && !VOTER_COUNTS.contains(&voters.len()) {
            let message = format!("there should be 3 or 5, but there are {}", voters.len());
            self.warning(path.clone(), message);
        }
        let zones: BTreeSet<_> = voters
            .iter()
            .map(|voter| &voter.availability_zone)
            .collect();
        if zones.len() == 1 && voters.len() > 1 {
            self.warning(path, "all are in one availability zone");
        }
        self.voter_addresses(settings);
        self.own_voter(settings);
    }

    fn voter_addresses(&mut self, settings: &Settings) {
        let mut addresses = BTreeMap::new();
        for voter in &settings.voters {
            let path = Path::item("voters", &voter.id);
            self.zone(&path, &voter.availability_zone, false, |_| true);
            let path = path.key("peer_address");
            let Some(address) = self.address(&path, &voter.peer_address) else {
                continue;
            };
            if let Some(earlier) = addresses.insert(address, &voter.id) {
                self.error(path, format!("voter `{earlier}` has the same address"));
            }
        }
    }

    /// Checks that the instance agrees with its entry in the voter list.
    fn own_voter(&mut self, settings: &Settings) {
        let instance = &settings.instance;
        let path = Path::section("instance");
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
            let message = "differs from the voter list";
            let same = voter.peer_address == instance.peer_address;
            self.error_unless(same, path.key("peer_address"), message);
            let same = voter.availability_zone == instance.availability_zone;
            self.error_unless(same, path.key("availability_zone"), message);
        }
    }

    fn platform(&mut self, settings: &Settings) {
        let path = Path::section("platform");
        let urls = [
            ("list_url", &settings.platform.list_url),
            ("weight_store_url", &settings.platform.weight_store_url),
        ];
        for (key, url) in urls.into_iter().filter(|(_, url)| !url.is_empty()) {
            let message = "must be http://IP:PORT, with or without a path";
            self.error_unless(is_http_url(url), path.key(key), message);
        }
    }

    fn timing(&mut self, settings: &Settings) {
        let timing = &settings.timing;
        let path = Path::section("timing");
        let orders = [
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
        for (longer, longer_ms, shorter, shorter_ms) in orders {
            let message = format!("must be longer than {shorter} ({shorter_ms})");
            self.error_unless(longer_ms > shorter_ms, path.key(longer), message);
        }
    }
}

fn forbidden_character(name: &str, reserved: &[char]) -> Option<char> {
    let forbidden = |c: &char| c.is_whitespace() || c.is_control() || reserved.contains(c);
    name.chars().find(forbidden)
}

fn is_sha256(text: &str) -> bool {
    let lower_case_hex = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    text.len() == SHA256_DIGITS && text.bytes().all(lower_case_hex)
}

fn is_http_url(url: &str) -> bool {
    let Some(rest) = url.strip_prefix("http://") else {
        return false;
    };
    let authority = rest.split('/').next().unwrap_or_default();
    let graphic = rest.bytes().all(|byte| byte.is_ascii_graphic());
    let address = authority.parse::<SocketAddr>();
    graphic && address.is_ok_and(|address| address.port() != 0)
}

/// Tells whether two listeners would take the same port.
fn overlap(one: SocketAddr, other: SocketAddr) -> bool {
    let same_ip = one.ip() == other.ip();
    let any_ip = one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() == other.port() && (same_ip || any_ip)
}

fn nearest<'a>(name: &Name, known: &[&'a Name]) -> Option<&'a Name> {
    let by_distance = |known: &&&Name| strsim::osa_distance(name, known);
    known.iter().min_by_key(by_distance).copied()
}
