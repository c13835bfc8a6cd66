//! The parts of the configuration in force that the callers' listener uses.

use std::sync::Arc;

use conf::{Idempotency, Map, Name, ServiceConfig};
use http::Method;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// SHA-256 of an API key.
type KeyDigest = [u8; 32];

/// Number of leading bytes of a key's digest by which client accounts are looked up. Only the comparison of whole
/// digests takes constant time: a caller that learns the leading bytes by measuring response times cannot derive a key
/// from them.
const LOOKUP_PREFIX_BYTES: usize = 8;

/// The configuration in force, indexed for the callers' listener.
#[derive(Debug, Default)]
pub struct CallerConfig {
    /// Digests of API keys with their client accounts, by the first bytes of the digest.
    client_accounts: Map<[u8; LOOKUP_PREFIX_BYTES], Vec<(KeyDigest, Name)>>,
    /// Routes, longest prefix first.
    routes: Vec<PlainRoute>,
    /// Names of models and adapters.
    models: Vec<Name>,
    /// Whether a configuration is in force. The default value stands for no configuration.
    pub is_in_force: bool,
}

/// A path prefix whose requests are forwarded to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainRoute {
    /// Name of the route.
    pub name: Name,
    prefix: Name,
    methods: Vec<Name>,
    /// Whether the service may run a request more than once.
    pub idempotent: bool,
}

/// Result of looking up the route of a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteMatch {
    /// The route that forwards the request.
    Found(PlainRoute),
    /// Routes match the path, but none of them allows the method.
    WrongMethod,
    /// No route matches the path.
    Unknown,
}

impl CallerConfig {
    /// Indexes a configuration.
    pub fn new(config: &Arc<ServiceConfig>) -> Self {
        let mut caller_config = Self {
            is_in_force: true,
            ..Self::default()
        };
        for client_account in &config.client_accounts {
            // A digest that is not valid hexadecimal matches no key. The `check` command reports such a digest.
            if let Some(digest) = parse_digest(&client_account.key_sha256) {
                let entry = (digest, client_account.name.clone());
                caller_config
                    .client_accounts
                    .entry(lookup_prefix(&digest))
                    .or_default()
                    .push(entry);
            }
        }
        caller_config.routes = config
            .routes
            .iter()
            .map(|route| PlainRoute {
                name: route.name.clone(),
                prefix: route.path_prefix.clone(),
                methods: route.methods.clone(),
                idempotent: route.idempotency == Idempotency::Idempotent,
            })
            .collect();
        caller_config
            .routes
            .sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        for model in &config.models {
            caller_config.models.push(model.name.clone());
            let adapters = model.adapters.iter();
            caller_config
                .models
                .extend(adapters.map(|adapter| Name::from(format!("{}:{adapter}", model.name))));
        }
        caller_config
    }

    /// Returns the client account of an API key.
    pub fn client_account(&self, key: &str) -> Option<&Name> {
        let digest: KeyDigest = Sha256::digest(key.as_bytes()).into();
        let candidates = self.client_accounts.get(&lookup_prefix(&digest))?;
        candidates
            .iter()
            .find(|(known, _)| bool::from(known.ct_eq(&digest)))
            .map(|(_, client_account)| client_account)
    }

    /// Returns the route with the longest matching prefix of `path` among those that allow `method`.
    pub fn route(&self, method: &Method, path: &str) -> RouteMatch {
        let mut path_matches = false;
        for route in self.routes.iter().filter(|route| route.matches_path(path)) {
            if route.allows_method(method) {
                return RouteMatch::Found(route.clone());
            }
            path_matches = true;
        }
        match path_matches {
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
    /// Returns whether `path` starts with the prefix, and the prefix ends at a segment boundary of `path`.
    fn matches_path(&self, path: &str) -> bool {
        path.strip_prefix(self.prefix.as_str()).is_some_and(|rest| {
            rest.is_empty() || rest.starts_with('/') || self.prefix.ends_with('/')
        })
    }

    fn allows_method(&self, method: &Method) -> bool {
        self.methods.is_empty()
            || self
                .methods
                .iter()
                .any(|allowed| allowed.eq_ignore_ascii_case(method.as_str()))
    }
}

fn lookup_prefix(digest: &KeyDigest) -> [u8; LOOKUP_PREFIX_BYTES] {
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
