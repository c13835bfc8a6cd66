//! Which headers pass between callers and upstreams.

use conf::Name;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Value of this header names the request and attempt at an upstream, and is taken by `DELETE /requests/{id}`.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Priority of a request at an upstream, 0 most urgent.
pub const PRIORITY: HeaderName = HeaderName::from_static("x-priority");
/// Tenant of the caller, for plain services.
pub const TENANT: HeaderName = HeaderName::from_static("x-mustardstack-tenant");
/// Rank that the caller asks for.
pub const RANK: HeaderName = HeaderName::from_static("x-mustardstack-rank");
/// Set on an answer that was taken from the ledger.
pub const REPLAYED: HeaderName = HeaderName::from_static("x-mustardstack-replayed");
/// Name of a non-idempotent request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Headers that concern one connection only (RFC 9110, section 7.6.1), and the body's length,
/// which is set anew on each side.
const CONNECTION_HEADERS: [HeaderName; 10] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
];

/// Headers of a caller that no upstream sees: the API key, and what the entry sets itself.
const ENTRY_HEADERS: [HeaderName; 7] = [
    header::AUTHORIZATION,
    header::HOST,
    header::EXPECT,
    REQUEST_ID,
    PRIORITY,
    TENANT,
    RANK,
];

/// Returns the headers of a caller's request that its upstream sees.
pub fn to_upstream(headers: &HeaderMap) -> HeaderMap {
    let mut kept = end_to_end(headers);
    for name in ENTRY_HEADERS {
        kept.remove(name);
    }
    kept
}

/// Returns the headers of an upstream's answer that its caller sees.
pub fn to_caller(headers: &HeaderMap) -> HeaderMap {
    end_to_end(headers)
}

fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in named_by_connection(headers) {
        kept.remove(name);
    }
    for name in CONNECTION_HEADERS {
        kept.remove(name);
    }
    kept
}

fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect()
}

/// Returns headers as the ledger records them. Values that are not text are left out.
pub fn to_record(headers: &HeaderMap) -> Vec<(Name, Name)> {
    headers
        .iter()
        .filter(|(name, _)| *name != header::DATE)
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?;
            Some((Name::new(name.as_str()), Name::new(value)))
        })
        .collect()
}

/// Returns recorded headers for a caller.
pub fn from_record(headers: &[(Name, Name)]) -> HeaderMap {
    let parse = |(name, value): &(Name, Name)| {
        let name = HeaderName::try_from(name.as_str()).ok()?;
        let value = HeaderValue::try_from(value.as_str()).ok()?;
        Some((name, value))
    };
    headers.iter().filter_map(parse).collect()
}
