//! Names and filters the headers that are forwarded between callers and upstreams.

use conf::Name;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Id of an attempt's request at an upstream. `DELETE /requests/{id}` cancels the request with this id.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Priority of a request at an upstream; 0 is the most urgent.
pub const PRIORITY: HeaderName = HeaderName::from_static("x-priority");
/// Client account of the caller, set on requests to plain services.
pub const CLIENT_ACCOUNT: HeaderName = HeaderName::from_static("x-mustardstack-tenant");
/// Rank that the caller requests.
pub const RANK: HeaderName = HeaderName::from_static("x-mustardstack-rank");
/// Set to `true` on an answer that was replayed from the idempotency ledger.
pub const REPLAYED: HeaderName = HeaderName::from_static("x-mustardstack-replayed");
/// Key that the caller chooses for a non-idempotent request, so that a repeated request runs at most once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Headers that apply to one connection only (RFC 9110, section 7.6.1), and the body's length, which each connection
/// sets for itself.
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

/// Headers of a caller's request that are not forwarded to upstreams: the API key, and headers that the instance sets
/// or reads itself.
const STRIPPED_REQUEST_HEADERS: [HeaderName; 7] = [
    header::AUTHORIZATION,
    header::HOST,
    header::EXPECT,
    REQUEST_ID,
    PRIORITY,
    CLIENT_ACCOUNT,
    RANK,
];

/// Returns the headers of a caller's request that are forwarded to the upstream.
pub fn to_upstream(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = end_to_end(headers);
    for name in STRIPPED_REQUEST_HEADERS {
        forwarded.remove(name);
    }
    forwarded
}

/// Returns the headers of an upstream's answer that are forwarded to the caller.
pub fn to_caller(headers: &HeaderMap) -> HeaderMap {
    end_to_end(headers)
}

fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for name in named_by_connection(headers) {
        forwarded.remove(name);
    }
    for name in CONNECTION_HEADERS {
        forwarded.remove(name);
    }
    forwarded
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

/// Returns the headers of an answer in the form that the ledger records. Omits the `Date` header, and values that are
/// not ASCII text.
pub fn to_ledger(headers: &HeaderMap) -> Vec<(Name, Name)> {
    headers
        .iter()
        .filter(|(name, _)| *name != header::DATE)
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?;
            Some((Name::new(name.as_str()), Name::new(value)))
        })
        .collect()
}

/// Returns the headers of an answer that the ledger recorded.
pub fn from_ledger(headers: &[(Name, Name)]) -> HeaderMap {
    let parse = |(name, value): &(Name, Name)| {
        let name = HeaderName::try_from(name.as_str()).ok()?;
        let value = HeaderValue::try_from(value.as_str()).ok()?;
        Some((name, value))
    };
    headers.iter().filter_map(parse).collect()
}
