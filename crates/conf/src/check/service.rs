//! Checks of the service configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::{Checker, forbidden_character};
use crate::problem::KeyPath;
use crate::service::RANK_COUNT;
use crate::{
    ClientAccount, Idempotency, Model, Name, RankPolicy, Role, Route, Service, ServiceConfig,
    ServiceKind, Upstream,
};

/// Tolerance for rounding in the sum of the floors, so that 0.7 + 0.2 + 0.1 counts as 1.
const FLOOR_SUM_TOLERANCE: f64 = 1e-9;
/// Number of hexadecimal digits of a SHA-256.
const SHA256_DIGITS: usize = 64;
/// Paths of the endpoints of the system itself. The prefix of a route cannot be one of these paths or a path below it.
const RESERVED_PATHS: [&str; 6] = [
    "/v1/chat/completions",
    "/v1/models",
    "/healthz",
    "/readyz",
    "/metrics",
    "/admin",
];

impl Checker {
    pub(super) fn check_service(&mut self, config: &ServiceConfig) {
        self.check_ranks(&config.ranks);
        self.check_client_accounts(config);
        self.check_models(config);
        self.check_services(config);
        self.check_routes(config);
        self.check_upstreams(config);
    }

    fn check_ranks(&mut self, ranks: &[RankPolicy]) {
        self.check_names("ranks", ranks.iter().map(|rank| &rank.name), &[]);
        self.error_unless(
            ranks.len() == RANK_COUNT,
            KeyPath::section("ranks"),
            format!(
                "there must be exactly {RANK_COUNT} ranks, but there are {}",
                ranks.len()
            ),
        );
        let floor_sum: f64 = ranks.iter().map(|rank| rank.floor).sum();
        self.error_unless(
            floor_sum <= 1.0 + FLOOR_SUM_TOLERANCE,
            KeyPath::section("ranks"),
            format!("the floors add up to {floor_sum}, which is more than 1"),
        );
        for rank in ranks {
            self.error_unless(
                rank.target_total_ms >= rank.target_first_token_ms,
                KeyPath::item("ranks", &rank.name).key("target_total_ms"),
                "must be at least target_first_token_ms",
            );
        }
    }

    fn check_client_accounts(&mut self, config: &ServiceConfig) {
        self.check_names(
            "tenants",
            config
                .client_accounts
                .iter()
                .map(|client_account| &client_account.name),
            &[],
        );
        let mut accounts_by_key = BTreeMap::new();
        for client_account in &config.client_accounts {
            let path = KeyPath::item("tenants", &client_account.name);
            self.check_account_ranks(config, client_account, &path);
            self.error_unless(
                is_sha256(&client_account.key_sha256),
                path.key("key_sha256"),
                "must be 64 lower-case hexadecimal digits",
            );
            let earlier = accounts_by_key.insert(&client_account.key_sha256, &client_account.name);
            if let Some(earlier) = earlier.filter(|_| !client_account.key_sha256.is_empty()) {
                let message = format!("client account `{earlier}` has the same key");
                self.error(path.key("key_sha256"), message);
            }
        }
    }

    fn check_account_ranks(
        &mut self,
        config: &ServiceConfig,
        client_account: &ClientAccount,
        path: &KeyPath,
    ) {
        let known = config.ranks.iter().map(|rank| &rank.name);
        let known: Vec<_> = known.collect();
        self.check_references(&path.key("ranks"), "rank", &client_account.ranks, &known);
        self.error_unless(
            !client_account.ranks.is_empty(),
            path.key("ranks"),
            "must name at least one rank",
        );
    }

    fn check_models(&mut self, config: &ServiceConfig) {
        let names = config.models.iter().map(|model| &model.name);
        self.check_names("models", names, &[':', '@']);
        for model in &config.models {
            let path = KeyPath::item("models", &model.name);
            self.check_adapters(model, &path);
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

    fn check_adapters(&mut self, model: &Model, path: &KeyPath) {
        self.check_unique(&path.key("adapters"), &model.adapters);
        for adapter in &model.adapters {
            let valid = !adapter.is_empty() && forbidden_character(adapter, &[':', '@']).is_none();
            let message = format!("`{adapter}` is empty or contains a forbidden character");
            self.error_unless(valid, path.key("adapters"), message);
        }
    }

    fn check_services(&mut self, config: &ServiceConfig) {
        self.check_names(
            "services",
            config.services.iter().map(|service| &service.name),
            &[],
        );
        let models: Vec<_> = config.models.iter().map(|model| &model.name).collect();
        for service in &config.services {
            let path = KeyPath::item("services", &service.name);
            self.check_references(&path.key("models"), "model", &service.models, &models);
            match service.kind {
                ServiceKind::Model => self.check_model_service(config, service, &path),
                ServiceKind::Plain => self.check_plain_service(config, service, &path),
            }
        }
    }

    fn check_model_service(&mut self, config: &ServiceConfig, service: &Service, path: &KeyPath) {
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
        let can_prefill = roles.iter().any(|role| *role != Role::Decode);
        let can_decode = roles.iter().any(|role| *role != Role::Prefill);
        self.error_unless(
            can_prefill,
            path.clone(),
            "the service has decode upstreams, but no prefill or mixed upstream",
        );
        self.error_unless(
            can_decode,
            path.clone(),
            "the service has prefill upstreams, but no decode or mixed upstream",
        );
    }

    fn check_plain_service(&mut self, config: &ServiceConfig, service: &Service, path: &KeyPath) {
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
            self.warning(path.clone(), "no route forwards to this service");
        }
    }

    fn check_routes(&mut self, config: &ServiceConfig) {
        self.check_names("routes", config.routes.iter().map(|route| &route.name), &[]);
        let mut routes_by_prefix = BTreeMap::new();
        for route in &config.routes {
            let path = KeyPath::item("routes", &route.name);
            self.check_path_prefix(route, &path);
            self.check_route_references(config, route, &path);
            self.check_route_limits(route, &path);
            let prefix = route.path_prefix.trim_end_matches('/');
            if let Some(earlier) = routes_by_prefix.insert(prefix, &route.name) {
                let message = format!("route `{earlier}` has the same prefix");
                self.error(path.key("path_prefix"), message);
            }
        }
    }

    fn check_path_prefix(&mut self, route: &Route, path: &KeyPath) {
        let prefix = route.path_prefix.as_str();
        let is_path_byte = |byte: u8| byte.is_ascii_graphic() && !b"?#\"<>\\^`{|}".contains(&byte);
        self.error_unless(
            prefix.starts_with('/') && prefix.bytes().all(is_path_byte),
            path.key("path_prefix"),
            "must be a URL path that starts with `/`",
        );
        let reserved = RESERVED_PATHS.iter().find(|path| {
            let rest = prefix.strip_prefix(**path);
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        });
        if let Some(reserved) = reserved {
            let message = format!("`{reserved}` is reserved for an endpoint of the system");
            self.error(path.key("path_prefix"), message);
        }
    }

    fn check_route_references(&mut self, config: &ServiceConfig, route: &Route, path: &KeyPath) {
        let mut services = config.services.iter();
        match services.find(|service| service.name == route.service) {
            Some(service) => self.error_unless(
                service.kind == ServiceKind::Plain,
                path.key("service"),
                format!("`{}` is not a plain service", route.service),
            ),
            None => self.report_unknown_service(config, &route.service, path),
        }
        let ranks: Vec<_> = config.ranks.iter().map(|rank| &rank.name).collect();
        if !route.rank.is_empty() {
            let rank = std::slice::from_ref(&route.rank);
            self.check_references(&path.key("rank"), "rank", rank, &ranks);
        }
    }

    fn check_route_limits(&mut self, route: &Route, path: &KeyPath) {
        self.check_unique(&path.key("methods"), &route.methods);
        for method in &route.methods {
            let valid = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
            let message = format!("`{method}` is not an HTTP method in capital letters");
            self.error_unless(valid, path.key("methods"), message);
        }
        let is_idempotent = route.idempotency == Idempotency::Idempotent;
        self.error_unless(
            is_idempotent || route.key_retention_ms >= route.timeout_ms,
            path.key("key_retention_ms"),
            "must be at least timeout_ms",
        );
    }

    fn check_upstreams(&mut self, config: &ServiceConfig) {
        let names = config.upstreams.iter().map(|upstream| &upstream.name);
        self.check_names("upstreams", names, &[]);
        let services: BTreeSet<_> = config
            .services
            .iter()
            .map(|service| &service.name)
            .collect();
        let mut upstreams_by_zone = BTreeMap::<_, usize>::new();
        for upstream in &config.upstreams {
            *upstreams_by_zone
                .entry(&upstream.availability_zone)
                .or_default() += 1;
        }
        let mut addresses = BTreeMap::new();
        for upstream in &config.upstreams {
            let path = KeyPath::item("upstreams", &upstream.name);
            if !services.contains(&upstream.service) {
                self.report_unknown_service(config, &upstream.service, &path);
            }
            self.check_availability_zone(
                &path,
                &upstream.availability_zone,
                upstreams_by_zone.len() > 1,
                |zone| upstreams_by_zone.get(zone) > Some(&1),
            );
            self.check_upstream_address(upstream, &path, &mut addresses);
        }
    }

    fn check_upstream_address<'a>(
        &mut self,
        upstream: &'a Upstream,
        path: &KeyPath,
        addresses: &mut BTreeMap<SocketAddr, &'a Name>,
    ) {
        let path = path.key("address");
        let Some(address) = self.check_address(&path, &upstream.address) else {
            return;
        };
        if address.ip().is_unspecified() {
            self.error(
                path.clone(),
                "must be the address of one host, not an unspecified address",
            );
        }
        if let Some(earlier) = addresses.insert(address, &upstream.name) {
            self.error(path, format!("upstream `{earlier}` has the same address"));
        }
    }

    fn report_unknown_service(&mut self, config: &ServiceConfig, service: &Name, path: &KeyPath) {
        let known: Vec<_> = config
            .services
            .iter()
            .map(|service| &service.name)
            .collect();
        let service = std::slice::from_ref(service);
        self.check_references(&path.key("service"), "service", service, &known);
    }
}

fn is_sha256(text: &str) -> bool {
    let is_lower_case_hex = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    text.len() == SHA256_DIGITS && text.bytes().all(is_lower_case_hex)
}
