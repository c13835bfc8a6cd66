//! Exchanges: the state of one caller's request from its arrival to the end of its answer.

use conf::service::RankPolicy;
use conf::{ClientAccount, Idempotency, Name, Route as PlainRoute, ServiceConfig};
use ledger::{AttemptId, Begin, Key};

use crate::effect::Refusal;
use crate::event::{Arrival, ExchangeId, RequestKind};

/// Maximum number of attempts of one request, including the first.
pub(crate) const MAX_ATTEMPTS: u32 = 4;

/// Multiple of the rank's target for the whole answer after which an answer is cancelled.
const ANSWER_TIMEOUT_FACTOR: u64 = 4;

/// Minimum time after the dispatch before the answer of a model is cancelled, in milliseconds.
const MIN_ANSWER_TIMEOUT_MS: u64 = 120_000;

/// Output tokens assumed if neither the model has a history nor the caller has set a limit.
pub(crate) const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// A request, resolved against the configuration.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ResolvedRequest {
    Chat {
        model: Name,
        prompt_tokens: u32,
        chunk_hashes: Vec<u64>,
        max_tokens: Option<u32>,
    },
    Plain {
        body_sha256: [u8; 32],
        timeout_ms: u64,
        /// Set for a non-idempotent request.
        at_most_once: Option<AtMostOnce>,
    },
}

/// What the ledger needs in order to run a non-idempotent request at most once.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct AtMostOnce {
    pub key: Key,
    pub retention_ms: u64,
}

/// Phase of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The request waits for an upstream.
    Queued,
    /// The instance waits for the ledger to grant the right to run the request.
    Beginning,
    /// An attempt is in progress.
    Running,
    /// The attempt did not run the request; the ledger records that before the next attempt.
    Closing,
    /// The whole answer was read; the ledger records it before it is delivered to the caller.
    Recording,
}

/// One caller's request and its answer, from the arrival to the end of the answer.
#[derive(Clone, Debug)]
pub(crate) struct Exchange {
    pub id: ExchangeId,
    pub client_account: Name,
    /// Position of the rank in the configuration, 0 for the most urgent rank.
    pub rank: u8,
    pub rank_name: Name,
    pub service: Name,
    pub request: ResolvedRequest,
    pub arrived_ms: u64,
    /// Time at which the request is refused if it is still waiting, in milliseconds.
    pub deadline_ms: u64,
    pub target_first_token_ms: u64,
    pub target_between_tokens_ms: u64,
    pub target_total_ms: u64,
    pub phase: Phase,
    /// Number of the current attempt, counted from 1; 0 before the first attempt.
    pub attempt: u32,
    pub upstream: Name,
    /// Engine that computes the prompt of the current attempt, if it differs from `upstream`.
    pub prefill_upstream: Option<Name>,
    /// Upstreams that later attempts must not use.
    pub excluded: Vec<Name>,
    pub send_deadline_ms: u64,
    pub first_token_ms: Option<u64>,
    /// Time of the dispatch or of the latest progress of the current attempt, in milliseconds.
    pub last_progress_ms: u64,
    pub output_tokens: u32,
    /// When the first output of the current attempt arrived, in milliseconds.
    pub generating_since_ms: Option<u64>,
    /// Whether the request tries a part of its prompt under which engines have crashed.
    pub is_trial: bool,
    /// Whether bytes of the request may have reached an upstream in any attempt.
    pub was_sent: bool,
    /// Sequence number in the ledger's id of the current attempt; 0 before the first one.
    pub ledger_sequence: u64,
    pub preemptions: u32,
    pub is_caller_gone: bool,
}

impl Exchange {
    /// Resolves a request of `client_account` against the configuration in force.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the model, route or rank is not available to the client account, or if the account or
    /// route is not configured.
    pub fn resolve(
        now_ms: u64,
        config: &ServiceConfig,
        client_account: Option<&ClientAccount>,
        arrival: Arrival,
        fallback_key: impl FnOnce() -> Name,
    ) -> Result<Self, Refusal> {
        let client_account = client_account.ok_or(Refusal::NotReady)?;
        let route = route_of(config, &arrival.kind)?;
        let requested_rank = arrival
            .rank
            .clone()
            .or_else(|| {
                route
                    .map(|route| route.rank.clone())
                    .filter(|r| !r.is_empty())
            })
            .or_else(|| client_account.ranks.first().cloned())
            .ok_or(Refusal::RankNotAllowed)?;
        if !client_account.ranks.contains(&requested_rank) {
            return Err(Refusal::RankNotAllowed);
        }
        let (rank, policy) = rank_of(config, &requested_rank).ok_or(Refusal::RankNotAllowed)?;
        let service = service_of(config, &arrival.kind, route)?;
        let request = resolve_request(&arrival, route, fallback_key);
        let deadline_ms = match &request {
            ResolvedRequest::Chat { .. } => now_ms + policy.target_total_ms,
            ResolvedRequest::Plain { timeout_ms, .. } => now_ms + timeout_ms,
        };
        Ok(Self {
            id: arrival.exchange,
            client_account: arrival.client_account,
            rank,
            rank_name: requested_rank,
            service,
            request,
            arrived_ms: now_ms,
            deadline_ms,
            target_first_token_ms: policy.target_first_token_ms,
            target_between_tokens_ms: policy.target_between_tokens_ms,
            target_total_ms: policy.target_total_ms,
            phase: Phase::Queued,
            attempt: 0,
            upstream: Name::default(),
            prefill_upstream: None,
            excluded: Vec::new(),
            send_deadline_ms: u64::MAX,
            first_token_ms: None,
            last_progress_ms: now_ms,
            output_tokens: 0,
            generating_since_ms: None,
            is_trial: false,
            was_sent: false,
            ledger_sequence: 0,
            preemptions: 0,
            is_caller_gone: false,
        })
    }

    /// Excludes the upstreams of the current attempt from later attempts. If the prompt was computed by another engine,
    /// both engines are excluded before the first token, because it is not known which of the two failed.
    pub fn exclude_current(&mut self) {
        self.excluded.push(self.upstream.clone());
        let prefill_upstream = self.prefill_upstream.take();
        self.excluded
            .extend(prefill_upstream.filter(|_| self.first_token_ms.is_none()));
    }

    /// Returns the model; the name is empty for a plain service.
    pub fn model(&self) -> Name {
        match &self.request {
            ResolvedRequest::Chat { model, .. } => model.clone(),
            ResolvedRequest::Plain { .. } => Name::default(),
        }
    }

    /// Returns the number of tokens that the engine must process before it generates the next token: the prompt and the
    /// output so far.
    pub fn prompt_tokens(&self) -> u32 {
        match &self.request {
            ResolvedRequest::Chat { prompt_tokens, .. } => {
                prompt_tokens.saturating_add(self.output_tokens)
            }
            ResolvedRequest::Plain { .. } => 0,
        }
    }

    /// Returns the hashes of the prompt's chunks.
    pub fn chunk_hashes(&self) -> Vec<u64> {
        match &self.request {
            ResolvedRequest::Chat { chunk_hashes, .. } => chunk_hashes.clone(),
            ResolvedRequest::Plain { .. } => Vec::new(),
        }
    }

    /// Returns the number of output tokens still expected, given the expected length of the whole answer.
    pub fn remaining_output_tokens(&self, expected_tokens: u32) -> u32 {
        match &self.request {
            ResolvedRequest::Plain { .. } => 0,
            ResolvedRequest::Chat { max_tokens, .. } => {
                let expected = max_tokens.map_or(expected_tokens, |max| max.min(expected_tokens));
                expected.saturating_sub(self.output_tokens).max(1)
            }
        }
    }

    /// Returns what the ledger needs for a non-idempotent request, or `None` for other requests.
    pub fn at_most_once(&self) -> Option<&AtMostOnce> {
        match &self.request {
            ResolvedRequest::Plain { at_most_once, .. } => at_most_once.as_ref(),
            ResolvedRequest::Chat { .. } => None,
        }
    }

    /// Returns the time at which the answer is cancelled if the request is dispatched now, in milliseconds.
    pub fn answer_deadline_ms(&self, now_ms: u64) -> u64 {
        match &self.request {
            ResolvedRequest::Chat { .. } => {
                let allowed_ms = self.target_total_ms.saturating_mul(ANSWER_TIMEOUT_FACTOR);
                now_ms + allowed_ms.max(MIN_ANSWER_TIMEOUT_MS)
            }
            ResolvedRequest::Plain { timeout_ms, .. } => now_ms + timeout_ms,
        }
    }

    /// Returns the time at which the first token is due, in milliseconds; 0 if the first token has arrived or if only
    /// the whole answer has a deadline.
    pub fn first_token_deadline_ms(&self) -> u64 {
        match (&self.request, self.first_token_ms) {
            (ResolvedRequest::Chat { .. }, None) => self.arrived_ms + self.target_first_token_ms,
            _ => 0,
        }
    }

    /// Returns the mean time between the output tokens in milliseconds, if there are at least two tokens.
    pub fn between_tokens_ms(&self, now_ms: u64) -> Option<f64> {
        let first_ms = self.first_token_ms?;
        let intervals = self.output_tokens.checked_sub(1).filter(|n| *n > 0)?;
        Some((now_ms - first_ms) as f64 / f64::from(intervals))
    }

    /// Returns whether an answer that ends now meets every target of its rank.
    pub fn is_in_target(&self, now_ms: u64) -> bool {
        let first_ms = self.first_token_ms.unwrap_or(now_ms) - self.arrived_ms;
        let between_ms = self.between_tokens_ms(now_ms).unwrap_or_default();
        first_ms <= self.target_first_token_ms
            && between_ms <= self.target_between_tokens_ms as f64
            && now_ms - self.arrived_ms <= self.target_total_ms
    }

    /// Returns the command that requests the right to run the current attempt, or `None` for idempotent requests.
    pub fn begin(&self, attempt: AttemptId, begin_timeout_ms: u64) -> Option<Begin> {
        let ResolvedRequest::Plain {
            body_sha256,
            timeout_ms,
            at_most_once: Some(at_most_once),
        } = &self.request
        else {
            return None;
        };
        Some(Begin {
            key: at_most_once.key.clone(),
            body_sha256: *body_sha256,
            attempt,
            answer_timeout_ms: begin_timeout_ms + timeout_ms,
            retention_ms: at_most_once.retention_ms,
        })
    }

    /// Returns the refusal of a request that has no attempts left.
    pub fn attempts_exhausted_refusal(&self) -> Refusal {
        if self.was_sent {
            Refusal::UpstreamFailed
        } else {
            Refusal::NoCapacity {
                retry_after_ms: 1_000,
            }
        }
    }
}

fn route_of<'a>(
    config: &'a ServiceConfig,
    kind: &RequestKind,
) -> Result<Option<&'a PlainRoute>, Refusal> {
    match kind {
        RequestKind::Chat { .. } => Ok(None),
        RequestKind::Plain { route, .. } => config
            .routes
            .iter()
            .find(|candidate| candidate.name == *route)
            .map(Some)
            .ok_or(Refusal::NotReady),
    }
}

fn rank_of<'a>(config: &'a ServiceConfig, name: &Name) -> Option<(u8, &'a RankPolicy)> {
    let position = config.ranks.iter().position(|rank| rank.name == *name)?;
    Some((u8::try_from(position).ok()?, &config.ranks[position]))
}

fn service_of(
    config: &ServiceConfig,
    kind: &RequestKind,
    route: Option<&PlainRoute>,
) -> Result<Name, Refusal> {
    if let Some(route) = route {
        return Ok(route.service.clone());
    }
    let RequestKind::Chat { model, .. } = kind else {
        return Err(Refusal::UnknownModel);
    };
    let (base, adapter) = match model.split_once(':') {
        Some((base, adapter)) => (base, Some(adapter)),
        None => (model.as_str(), None),
    };
    let known = config.models.iter().any(|candidate| {
        candidate.name == base
            && adapter.is_none_or(|adapter| candidate.adapters.iter().any(|a| a == adapter))
    });
    config
        .services
        .iter()
        .find(|service| known && service.models.iter().any(|served| served == base))
        .map(|service| service.name.clone())
        .ok_or(Refusal::UnknownModel)
}

fn resolve_request(
    arrival: &Arrival,
    route: Option<&PlainRoute>,
    fallback_key: impl FnOnce() -> Name,
) -> ResolvedRequest {
    match (&arrival.kind, route) {
        (
            RequestKind::Chat {
                model,
                prompt_tokens,
                chunk_hashes,
                max_tokens,
            },
            _,
        ) => ResolvedRequest::Chat {
            model: model.clone(),
            prompt_tokens: *prompt_tokens,
            chunk_hashes: chunk_hashes.clone(),
            max_tokens: *max_tokens,
        },
        (
            RequestKind::Plain {
                idempotency_key,
                body_sha256,
                ..
            },
            route,
        ) => {
            let default = PlainRoute::default();
            let route = route.unwrap_or(&default);
            let at_most_once =
                (route.idempotency == Idempotency::NonIdempotent).then(|| AtMostOnce {
                    key: Key {
                        client_account: arrival.client_account.clone(),
                        key: idempotency_key.clone().unwrap_or_else(fallback_key),
                    },
                    retention_ms: route.key_retention_ms,
                });
            ResolvedRequest::Plain {
                body_sha256: *body_sha256,
                timeout_ms: route.timeout_ms,
                at_most_once,
            }
        }
    }
}
