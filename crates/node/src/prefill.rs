//! Disaggregated prefill: computes a prompt on one engine and transfers its KV cache to another.

use bytes::Bytes;
use conf::Name;
use http::header;
use http::request::Parts as RequestParts;
use http::{StatusCode, Uri};
use serde_json::{Map, Value};

use crate::clock::Clock;
use crate::upstream::{Target, fetch};

/// The prefill stage of an attempt.
#[derive(Debug)]
pub struct PrefillStage {
    /// Address of the engine that computes the prompt.
    pub address: Name,
    /// Head of the chat request, with a request id that differs from the attempt's.
    pub head: RequestParts,
    /// Chat request for one output token.
    pub body: Bytes,
    /// Hashes of the prompt's chunks, in hexadecimal.
    pub chunks: Vec<String>,
}

impl PrefillStage {
    /// Computes the prompt and returns `request` with the exported KV cache. If the stage fails, the request is
    /// returned unchanged, and its engine computes the prompt.
    pub async fn run(self, clock: Clock, target: &Target, request: Bytes) -> Bytes {
        match self.export(clock, target).await {
            Some(exported_cache) => with_kv_import(&request, exported_cache).unwrap_or(request),
            None => request,
        }
    }

    async fn export(self, clock: Clock, target: &Target) -> Option<Value> {
        let target = Target {
            address: self.address.clone(),
            ..target.clone()
        };
        let mut export_head = self.head.clone();
        export_head.uri = Uri::from_static("/kv/export");
        export_head.headers.remove(header::CONTENT_LENGTH);
        let (status, _) = fetch(clock, &target, self.head, self.body).await?;
        if status != StatusCode::OK {
            return None;
        }
        let mut export_request = Map::new();
        export_request.insert("chunks".to_owned(), Value::from(self.chunks));
        let body = Bytes::from(serde_json::to_vec(&export_request).ok()?);
        let (status, exported_cache) = fetch(clock, &target, export_head, body).await?;
        if status != StatusCode::OK {
            return None;
        }
        serde_json::from_slice(&exported_cache).ok()
    }
}

fn with_kv_import(request: &[u8], exported_cache: Value) -> Option<Bytes> {
    let mut request: Map<String, Value> = serde_json::from_slice(request).ok()?;
    request.insert("kv_import".to_owned(), exported_cache);
    Some(Bytes::from(serde_json::to_vec(&request).ok()?))
}
