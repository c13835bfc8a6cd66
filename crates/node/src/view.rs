//! What the callers' listener needs of the configuration in force.

use std::sync::Arc;

use conf::{Idempotency, Map, Name, ServiceConfig};
use http::Method;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// SHA-256 of an API key.
type KeyDigest = [u8; 32];

/// Bytes of a key's digest by which tenants are looked up. Only the rest is compared in constant
/// time: a caller who learns this part by timing learns nothing that it can turn into a key.
const LOOKUP_BYTES: usize = 8;

/// The configuration in force, prepared for requests.
#[derive(Debug, Default)]
pub struct CallerView {
    /// Tenants by the first bytes of their key's digest.
    tenants: Map<[u8; LOOKUP_BYTES], Vec<(KeyDigest, Name)>>,
    /// Routes, longest prefix first.
    routes: Vec<PlainRoute>,
    /// Names of models and adapters.
    models: Vec<Name>,
    /// Whether a configuration is in force.
    pub is_ready: bool,
}

/// A forwarded path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainRoute {
    /// Name of the route.
    pub name: Name,
    prefix: Name,
    methods: Vec<Name>,
    /// Whether requests may be repeated.
    pub idempotent: bool,
}

/// Result of a look-up of a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteMatch {
    /// The route that forwards the request.
    Found(PlainRoute),
    /// The path is known, but not with this method.
    WrongMethod,
    /// No route has a prefix of the path.
    Unknown,
}

impl CallerView {
    /// Prepares a configuration.
    pub fn new(config: &Arc<ServiceConfig>) -> Self {
        let mut view = Self {
            is_ready: true,
            ..Self::default()
        };
        for tenant in &config.tenants {
            // A digest that is not hexadecimal matches no key. `check` reports it.
            if let Some(digest) = parse_digest(&tenant.key_sha256) {
                let entry = (digest, tenant.name.clone());
                view.tenants.entry(lookup(&digest)).or_default().push(entry);
            }
        }
        view.routes = config
            .routes
            .iter()
            .map(|route| PlainRoute {
                name: route.name.clone(),
                prefix: route.path_prefix.clone(),
                methods: route.methods.clone(),
                idempotent: route.idempotency == Idempotency::Idempotent,
            })
            .collect();
        view.routes
            .sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        for model in &config.models {
            view.models.push(model.name.clone());
            let adapters = model.adapters.iter();
            view.models
                .extend(adapters.map(|adapter| Name::from(format!("{}:{adapter}", model.name))));
        }
        view
    }

    /// Returns the tenant of an API key.
    pub fn tenant(&self, key: &str) -> Option<&Name> {
        let digest: KeyDigest = Sha256::digest(key.as_bytes()).into();
        let candidates = self.tenants.get(&lookup(&digest))?;
        candidates
            .iter()
            .find(|(known, _)| bool::from(known.ct_eq(&digest)))
            .map(|(_, tenant)| tenant)
    }

    /// Returns the route with the longest prefix of `path` that forwards `method`.
    pub fn route(&self, method: &Method, path: &str) -> RouteMatch {
        let mut known = false;
        for route in self.routes.iter().filter(|route| route.covers(path)) {
            if route.allows(method) {
                return RouteMatch::Found(route.clone());
            }
            known = true;
        }
        match known {
            true => RouteMatch::WrongMethod,
            false => RouteMatch::Unknown,
        }
    }

    /// Returns the names of models and adapters.
    pub fn models(&self) -> &[Name] {
        &self.models
    }
}

impl PlainRoute {
    /// Returns whether the prefix ends at a segment's border in `path`.
    fn covers(&self, path: &str) -> bool {
        path.strip_prefix(self.prefix.as_str()).is_some_and(|rest| {
            rest.is_empty() || rest.starts_with('/') || self.prefix.ends_with('/')
        })
    }

    fn allows(&self, method: &Method) -> bool {
        self.methods.is_empty()
            || self
                .methods
                .iter()
                .any(|allowed| allowed.eq_ignore_ascii_case(method.as_str()))
    }
}

fn lookup(digest: &KeyDigest) -> [u8; LOOKUP_BYTES] {
    std::array::from_fn(|index| digest[index])
}

fn parse_digest(text: &str) -> Option<KeyDigest> {
    let mut digest = KeyDigest::default();
    if text.len() != 2 * digest.len() || !text.is_ascii() {
        return None;
    }
    for (index, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(digest)
}
