//! The published configuration: routes and services.

use conf::{Map, Name};
use thiserror::Error;

/// What may be done with a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answers with a stream of events. Runs at most once unless it may be resumed.
    Stream { resumable: bool },
}

impl Kind {
    /// Returns whether the request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Stream { resumable } => resumable,
        }
    }
}

/// Where requests go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host that it serves.
    pub host: Name,
    /// Start of the paths that it serves.
    pub path_prefix: Name,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a caller may be kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer counts in full, in milliseconds.
    pub objective_ms: u64,
    /// Longest pause between two events with which a stream counts as in time, in milliseconds.
    pub gap_ms: u64,
    /// Rank, 0 for the most urgent.
    pub rank: u8,
    /// Services and their weights. The sum of the weights is above 0.
    pub targets: Vec<(Name, u32)>,
    /// Upstreams on which one request may run.
    pub max_attempts: u32,
}

/// Time for which every caller waits for the next event of a stream, in milliseconds.
const PATIENCE_MIN_MS: u64 = 2_000;
/// Objectives for which a caller waits for the next event.
const PATIENCE_OBJECTIVES: u64 = 4;
/// Pauses for which a caller waits for the next event.
const PATIENCE_GAPS: u64 = 8;

impl Route {
    /// Returns the time after which callers give up a request that has not begun to be answered, in milliseconds.
    pub fn patience_ms(&self) -> u64 {
        let patience_ms = match self.kind {
            Kind::Stream { .. } => PATIENCE_MIN_MS
                .max(self.objective_ms * PATIENCE_OBJECTIVES)
                .max(self.gap_ms * PATIENCE_GAPS),
            Kind::Idempotent | Kind::NonIdempotent => self.timeout_ms,
        };
        patience_ms.min(self.timeout_ms)
    }

    /// Returns the service for a request, by weight. Equal draws give equal services.
    pub fn service(&self, draw: u64) -> Option<&Name> {
        let total: u64 = self
            .targets
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut left = draw.checked_rem(total)?;
        for (service, weight) in &self.targets {
            match left.checked_sub(u64::from(*weight)) {
                Some(rest) => left = rest,
                None => return Some(service),
            }
        }
        None
    }
}

/// What is known of a service's engines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineTraits {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens that fit into an engine's memory.
    pub kv_tokens: u64,
    /// Time for which a handle to a computed prompt is kept, in milliseconds.
    pub handle_ttl_ms: u64,
}

/// A group of equal upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Connections that each upstream accepts from all instances together.
    pub max_connections: u32,
    /// Traits of its engines; none for a plain service.
    pub engine: Option<EngineTraits>,
}

/// Bounds on what a caller may send and how long it may take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time in which a head must have arrived, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time for which a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Why a configuration is refused as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Invalid {
    /// The document cannot be read in full.
    #[error("the document cannot be read: {0}")]
    Unreadable(String),
    /// A route names a service that the document lacks.
    #[error("route {route} names the unknown service {service}")]
    UnknownService { route: Name, service: Name },
    /// Two routes have the same host and path prefix.
    #[error("routes {first} and {second} share a host and path prefix")]
    SamePlace { first: Name, second: Name },
    /// A route sends nothing anywhere.
    #[error("the weights of route {route} add up to 0")]
    NoWeight { route: Name },
    /// A route allows no time.
    #[error("the timeout of route {route} is 0")]
    NoTimeout { route: Name },
}

/// A valid configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Config {
    version: u64,
    services: Map<Name, Service>,
    limits: Limits,
    /// Routes of each host, longest path prefix first.
    hosts: Map<Name, Vec<Route>>,
}

impl Config {
    /// Checks routes and services.
    ///
    /// # Errors
    /// Returns the first fault found.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
    ) -> Result<Self, Invalid> {
        let services: Map<Name, Service> = services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();
        let mut hosts: Map<Name, Vec<Route>> = Map::default();
        for route in routes {
            check(&route, &services)?;
            hosts.entry(route.host.clone()).or_default().push(route);
        }
        for routes in hosts.values_mut() {
            routes.sort_by(|a, b| {
                let length = b.path_prefix.len().cmp(&a.path_prefix.len());
                length.then_with(|| a.path_prefix.cmp(&b.path_prefix))
            });
            for pair in routes.windows(2) {
                if pair[0].path_prefix == pair[1].path_prefix {
                    return Err(Invalid::SamePlace {
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
        })
    }

    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the bounds on callers.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns a service.
    pub fn service(&self, name: &Name) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the route with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.hosts
            .get(host)?
            .iter()
            .find(|route| path.starts_with(route.path_prefix.as_str()))
    }
}

fn check(route: &Route, services: &Map<Name, Service>) -> Result<(), Invalid> {
    if route.timeout_ms == 0 {
        let route = route.name.clone();
        return Err(Invalid::NoTimeout { route });
    }
    if route.targets.iter().all(|(_, weight)| *weight == 0) {
        let route = route.name.clone();
        return Err(Invalid::NoWeight { route });
    }
    let unknown = route
        .targets
        .iter()
        .find(|(service, _)| !services.contains_key(service));
    match unknown {
        Some((service, _)) => Err(Invalid::UnknownService {
            route: route.name.clone(),
            service: service.clone(),
        }),
        None => Ok(()),
    }
}
