//! The published configuration: routes, services and client accounts.

use conf::{Map, Name};
use thiserror::Error;

use crate::accounts::{Accounts, KeyCheck};

/// Kind of a request, which decides whether the request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    NonIdempotent,
    /// The answer is a stream of events. The request runs at most once unless the stream may be resumed.
    Stream { resumable: bool },
}

impl RequestKind {
    /// Returns whether the request may be retried after an upstream may have run it.
    pub fn is_retryable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Stream { resumable } => resumable,
        }
    }
}

/// A route, which assigns requests to services by host and path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host whose requests the route matches.
    pub host: Name,
    /// Prefix of the paths that the route matches.
    pub path_prefix: Name,
    /// Kind of the route's requests.
    pub kind: RequestKind,
    /// Longest time that a caller may have to wait, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective of an answer, or of the first event of a stream, in milliseconds.
    pub objective_ms: u64,
    /// Objective for the gap between two events of a stream, in milliseconds.
    pub gap_ms: u64,
    /// Rank, 0 for the most urgent.
    pub rank: u8,
    /// Services and their weights. The sum of the weights is above 0.
    pub targets: Vec<(Name, u32)>,
    /// Largest number of upstreams on which one request may run.
    pub max_runs: u32,
    /// Whether requests need no API key although the configuration has client accounts.
    pub is_public: bool,
}

/// Minimum time for which a caller waits for the next event of a stream, in milliseconds.
const BEGIN_TIMEOUT_MIN_MS: u64 = 2_000;
/// Multiple of the latency objective for which a caller waits for the next event.
const BEGIN_TIMEOUT_OBJECTIVES: u64 = 4;
/// Multiple of the gap objective for which a caller waits for the next event.
const BEGIN_TIMEOUT_GAPS: u64 = 8;

impl Route {
    /// Returns the time after which callers disconnect if the answer has not begun, in milliseconds.
    pub fn begin_timeout_ms(&self) -> u64 {
        let begin_timeout_ms = match self.kind {
            RequestKind::Stream { .. } => BEGIN_TIMEOUT_MIN_MS
                .max(self.objective_ms * BEGIN_TIMEOUT_OBJECTIVES)
                .max(self.gap_ms * BEGIN_TIMEOUT_GAPS),
            RequestKind::Idempotent | RequestKind::NonIdempotent => self.timeout_ms,
        };
        begin_timeout_ms.min(self.timeout_ms)
    }

    /// Returns the service for a request, chosen by weight. Equal hashes give equal services.
    pub fn service(&self, request_hash: u64) -> Option<&Name> {
        let total: u64 = self
            .targets
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut remainder = request_hash.checked_rem(total)?;
        for (service, weight) in &self.targets {
            match remainder.checked_sub(u64::from(*weight)) {
                Some(rest) => remainder = rest,
                None => return Some(service),
            }
        }
        None
    }
}

/// Properties of a service's engines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineTraits {
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Number of tokens whose KV cache fits into an engine's memory.
    pub kv_tokens: u64,
    /// Tokens whose KV cache a link between engines transfers in a millisecond; 0 if the document does not state it.
    pub transfer_tokens_per_ms: u32,
    /// Time for which an engine keeps a computed prompt under its handle, in milliseconds.
    pub handle_ttl_ms: u64,
}

/// Bounds and prices of a service's upstreams, which the platform starts and stops on order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scaling {
    /// Smallest number of upstreams in an availability zone, of both kinds together.
    pub min: u32,
    /// Largest number of upstreams in an availability zone, of both kinds together.
    pub max: u32,
    /// Time from an order until a new upstream takes requests, in milliseconds.
    pub boot_ms: u64,
    /// Price of a reclaimable upstream, as a share of the price of the others.
    pub reclaimable_price: f64,
    /// Price of an upstream by availability zone.
    pub zone_prices: Map<Name, f64>,
}

impl Scaling {
    /// Returns what makes the values unusable, if anything does.
    pub fn fault(&self) -> Option<&'static str> {
        let is_price = |price: f64| price.is_finite() && price >= 0.0;
        if self.max == 0 {
            return Some("the maximum is 0");
        }
        if self.min > self.max {
            return Some("the minimum is above the maximum");
        }
        if !is_price(self.reclaimable_price)
            || !self.zone_prices.values().all(|price| is_price(*price))
        {
            return Some("a price is negative");
        }
        self.zone_prices
            .is_empty()
            .then_some("no availability zone has a price")
    }
}

/// A group of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Number of connections that each upstream accepts from all instances together.
    pub max_connections: u32,
    /// Properties of the service's engines; none for a plain service.
    pub engine: Option<EngineTraits>,
    /// Bounds and prices of upstreams; none if the platform takes no orders for the service's upstreams, or if the
    /// stated values cannot be used.
    pub scaling: Option<Scaling>,
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time within which the head of a request must arrive, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time for which a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// The reason why a configuration is rejected as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The document cannot be decoded.
    #[error("the document cannot be read: {0}")]
    Unreadable(String),
    /// A route names a service that the document does not define.
    #[error("route {route} names the unknown service {service}")]
    UnknownService { route: Name, service: Name },
    /// Two routes have the same host and path prefix.
    #[error("routes {first} and {second} share a host and path prefix")]
    DuplicatePrefix { first: Name, second: Name },
    /// The weights of a route's services add up to 0.
    #[error("the weights of route {route} add up to 0")]
    ZeroWeight { route: Name },
    /// The timeout of a route is 0.
    #[error("the timeout of route {route} is 0")]
    ZeroTimeout { route: Name },
    /// Two client accounts have the same API key.
    #[error("the client accounts {first} and {second} share a key")]
    SharedKey { first: Name, second: Name },
    /// A field of a client account is invalid.
    #[error("the client account {account} is invalid: its {field} field has a value that {reason}")]
    InvalidAccount {
        account: Name,
        field: &'static str,
        reason: &'static str,
    },
}

/// A valid configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    version: u64,
    services: Map<Name, Service>,
    limits: Limits,
    /// Routes of each host, longest path prefix first.
    hosts: Map<Name, Vec<Route>>,
    longest_timeout_ms: u64,
    /// Client accounts; none if requests need no API key.
    accounts: Option<Accounts>,
}

impl Config {
    /// Creates a configuration from routes and services, and validates it.
    ///
    /// # Errors
    /// Returns the first fault found.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
    ) -> Result<Self, ConfigError> {
        let services: Map<Name, Service> = services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();
        let longest_timeout_ms = routes.iter().map(|route| route.timeout_ms).max();
        let mut hosts: Map<Name, Vec<Route>> = Map::default();
        for route in routes {
            validate(&route, &services)?;
            hosts.entry(route.host.clone()).or_default().push(route);
        }
        for routes in hosts.values_mut() {
            routes.sort_by(|a, b| {
                let length = b.path_prefix.len().cmp(&a.path_prefix.len());
                length.then_with(|| a.path_prefix.cmp(&b.path_prefix))
            });
            for pair in routes.windows(2) {
                if pair[0].path_prefix == pair[1].path_prefix {
                    return Err(ConfigError::DuplicatePrefix {
                        first: pair[0].name.clone(),
                        second: pair[1].name.clone(),
                    });
                }
            }
        }
        Ok(Self {
            version,
            services,
            limits,
            hosts,
            longest_timeout_ms: longest_timeout_ms.unwrap_or(0),
            accounts: None,
        })
    }

    /// Returns the configuration with client accounts, so that requests need an API key.
    pub fn with_accounts(self, accounts: Accounts) -> Self {
        Self {
            accounts: Some(accounts),
            ..self
        }
    }

    /// Returns whether the configuration has client accounts, so that requests need an API key.
    pub fn has_accounts(&self) -> bool {
        self.accounts.is_some()
    }

    /// Looks up the account of a request by the API keys that it carries, of which there must be one. Requests need no
    /// key on a public route, or if the configuration has no list of client accounts; an empty list allows no key.
    pub fn check_key<'a>(
        &self,
        route: &Route,
        mut api_keys: impl Iterator<Item = &'a [u8]>,
    ) -> KeyCheck<'_> {
        let Some(accounts) = self.accounts.as_ref().filter(|_| !route.is_public) else {
            return KeyCheck::NotNeeded;
        };
        let account = match (api_keys.next(), api_keys.next()) {
            (Some(api_key), None) => accounts.find(api_key),
            _ => None,
        };
        account.map_or(KeyCheck::Unknown, KeyCheck::Known)
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers' requests.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the longest timeout of a route, in milliseconds; 0 without routes.
    pub fn longest_timeout_ms(&self) -> u64 {
        self.longest_timeout_ms
    }

    /// Returns the service with a name.
    pub fn service(&self, name: &Name) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the route of the host with the longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.hosts
            .get(host)?
            .iter()
            .find(|route| path.starts_with(route.path_prefix.as_str()))
    }
}

fn validate(route: &Route, services: &Map<Name, Service>) -> Result<(), ConfigError> {
    if route.timeout_ms == 0 {
        let route = route.name.clone();
        return Err(ConfigError::ZeroTimeout { route });
    }
    if route.targets.iter().all(|(_, weight)| *weight == 0) {
        let route = route.name.clone();
        return Err(ConfigError::ZeroWeight { route });
    }
    let unknown_target = route
        .targets
        .iter()
        .find(|(service, _)| !services.contains_key(service));
    match unknown_target {
        Some((service, _)) => Err(ConfigError::UnknownService {
            route: route.name.clone(),
            service: service.clone(),
        }),
        None => Ok(()),
    }
}
