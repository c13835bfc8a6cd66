//! One caller's request on its way through the instance.

use conf::service::RankPolicy;
use conf::{Idempotency, Name, Route as PlainRoute, ServiceConfig, Tenant};
use ledger::{AttemptId, Begin, Key};

use crate::effect::Refusal;
use crate::event::{Arrival, ExchangeId, Work};

/// Attempts of one request, the first included.
pub(crate) const MAX_ATTEMPTS: u32 = 4;

/// An answer that runs for longer than this multiple of its rank's target is given up.
const STUCK_ANSWER_FACTOR: u64 = 4;

/// Shortest time allowed for a model's answer once it was dispatched, in milliseconds.
const MIN_ANSWER_TIME_MS: u64 = 120_000;

/// Output tokens assumed for a model without history and without a limit by the caller.
pub(crate) const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// What a request is, resolved against the configuration.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Kind {
    Chat {
        model: Name,
        prompt_tokens: u32,
        chunks: Vec<u64>,
        max_tokens: Option<u32>,
    },
    Plain {
        body_sha256: [u8; 32],
        timeout_ms: u64,
        /// Set for a request that must run at most once.
        once: Option<Once>,
    },
}

/// The ledger's view of a non-idempotent request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Once {
    pub key: Key,
    pub retention_ms: u64,
}

/// Where a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for an upstream.
    Queued,
    /// Waits for the right to run.
    Beginning,
    /// An attempt is under way.
    Running,
    /// The attempt did not run; the ledger is being told before the next one.
    Closing,
    /// The answer is whole; the ledger is being told before the caller gets it.
    Recording,
}

/// A request that is open.
#[derive(Clone, Debug)]
pub(crate) struct Exchange {
    pub id: ExchangeId,
    pub tenant: Name,
    pub rank: u8,
    pub rank_name: Name,
    pub service: Name,
    pub kind: Kind,
    pub arrived_ms: u64,
    /// Time at which a request that still waits is refused.
    pub deadline_ms: u64,
    pub target_first_token_ms: u64,
    pub target_between_tokens_ms: u64,
    pub target_total_ms: u64,
    pub phase: Phase,
    /// Number of the current attempt, from 1; 0 before the first.
    pub attempt: u32,
    pub upstream: Name,
    /// Engine that computes the prompt of the current attempt, if it is another one.
    pub prefill_upstream: Option<Name>,
    pub excluded: Vec<Name>,
    pub send_deadline_ms: u64,
    pub first_token_ms: Option<u64>,
    /// Time of the dispatch or of the latest progress of the current attempt.
    pub last_progress_ms: u64,
    pub output_tokens: u32,
    /// Whether bytes of any attempt may have reached an upstream.
    pub was_sent: bool,
    /// Sequence of the ledger's attempt id for the current attempt.
    pub ledger_attempt: u64,
    pub preemptions: u32,
    pub is_caller_gone: bool,
}

impl Exchange {
    /// Resolves a request of `tenant` against the configuration in force.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the model, route or rank is not available to the tenant.
    pub fn resolve(
        now_ms: u64,
        config: &ServiceConfig,
        tenant: Option<&Tenant>,
        arrival: Arrival,
        fallback_key: impl FnOnce() -> Name,
    ) -> Result<Self, Refusal> {
        let tenant = tenant.ok_or(Refusal::NotReady)?;
        let route = route_of(config, &arrival.work)?;
        let wanted = arrival
            .rank
            .clone()
            .or_else(|| {
                route
                    .map(|route| route.rank.clone())
                    .filter(|r| !r.is_empty())
            })
            .or_else(|| tenant.ranks.first().cloned())
            .ok_or(Refusal::RankNotAllowed)?;
        if !tenant.ranks.contains(&wanted) {
            return Err(Refusal::RankNotAllowed);
        }
        let (rank, policy) = rank_of(config, &wanted).ok_or(Refusal::RankNotAllowed)?;
        let service = service_of(config, &arrival.work, route)?;
        let kind = kind_of(&arrival, route, fallback_key);
        let deadline_ms = match &kind {
            Kind::Chat { .. } => now_ms + policy.target_total_ms,
            Kind::Plain { timeout_ms, .. } => now_ms + timeout_ms,
        };
        Ok(Self {
            id: arrival.exchange,
            tenant: arrival.tenant,
            rank,
            rank_name: wanted,
            service,
            kind,
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
            was_sent: false,
            ledger_attempt: 0,
            preemptions: 0,
            is_caller_gone: false,
        })
    }

    /// Keeps later attempts away from the upstreams of the current one. Which of two engines failed
    /// before the first token is not known.
    pub fn exclude_current(&mut self) {
        self.excluded.push(self.upstream.clone());
        let prefill_upstream = self.prefill_upstream.take();
        self.excluded
            .extend(prefill_upstream.filter(|_| self.first_token_ms.is_none()));
    }

    /// Returns the model, empty for a plain service.
    pub fn model(&self) -> Name {
        match &self.kind {
            Kind::Chat { model, .. } => model.clone(),
            Kind::Plain { .. } => Name::default(),
        }
    }

    /// Returns the tokens that have to be in the engine's context before it goes on.
    pub fn prompt_tokens(&self) -> u32 {
        match &self.kind {
            Kind::Chat { prompt_tokens, .. } => prompt_tokens.saturating_add(self.output_tokens),
            Kind::Plain { .. } => 0,
        }
    }

    /// Returns the hashes of the prompt's chunks.
    pub fn chunks(&self) -> Vec<u64> {
        match &self.kind {
            Kind::Chat { chunks, .. } => chunks.clone(),
            Kind::Plain { .. } => Vec::new(),
        }
    }

    /// Returns the output tokens still to come, from the expected length of the whole answer.
    pub fn output_to_come(&self, expected_tokens: u32) -> u32 {
        match &self.kind {
            Kind::Plain { .. } => 0,
            Kind::Chat { max_tokens, .. } => {
                let expected = max_tokens.map_or(expected_tokens, |max| max.min(expected_tokens));
                expected.saturating_sub(self.output_tokens).max(1)
            }
        }
    }

    /// Returns the ledger's part of a non-idempotent request.
    pub fn once(&self) -> Option<&Once> {
        match &self.kind {
            Kind::Plain { once, .. } => once.as_ref(),
            Kind::Chat { .. } => None,
        }
    }

    /// Returns the time at which an answer that is dispatched now is given up.
    pub fn answer_deadline_ms(&self, now_ms: u64) -> u64 {
        match &self.kind {
            Kind::Chat { .. } => {
                let allowed_ms = self.target_total_ms.saturating_mul(STUCK_ANSWER_FACTOR);
                now_ms + allowed_ms.max(MIN_ANSWER_TIME_MS)
            }
            Kind::Plain { timeout_ms, .. } => now_ms + timeout_ms,
        }
    }

    /// Returns the time at which the first token is due; 0 if it has come or only the whole answer is due.
    pub fn first_token_deadline_ms(&self) -> u64 {
        match (&self.kind, self.first_token_ms) {
            (Kind::Chat { .. }, None) => self.arrived_ms + self.target_first_token_ms,
            _ => 0,
        }
    }

    /// Returns the mean time between the output tokens, if there were at least two.
    pub fn between_tokens_ms(&self, now_ms: u64) -> Option<f64> {
        let first_ms = self.first_token_ms?;
        let intervals = self.output_tokens.checked_sub(1).filter(|n| *n > 0)?;
        Some((now_ms - first_ms) as f64 / f64::from(intervals))
    }

    /// Returns whether an answer that ends now has met every target of its rank.
    pub fn is_in_target(&self, now_ms: u64) -> bool {
        let first_ms = self.first_token_ms.unwrap_or(now_ms) - self.arrived_ms;
        let between_ms = self.between_tokens_ms(now_ms).unwrap_or_default();
        first_ms <= self.target_first_token_ms
            && between_ms <= self.target_between_tokens_ms as f64
            && now_ms - self.arrived_ms <= self.target_total_ms
    }

    /// Returns the command that asks for the right to run the current attempt.
    pub fn begin(&self, attempt: AttemptId, begin_timeout_ms: u64) -> Option<Begin> {
        let Kind::Plain {
            body_sha256,
            timeout_ms,
            once: Some(once),
        } = &self.kind
        else {
            return None;
        };
        Some(Begin {
            key: once.key.clone(),
            body_sha256: *body_sha256,
            attempt,
            answer_timeout_ms: begin_timeout_ms + timeout_ms,
            retention_ms: once.retention_ms,
        })
    }

    /// Returns the refusal of a request whose attempt broke.
    pub fn broken_refusal(&self) -> Refusal {
        if self.was_sent {
            Refusal::UpstreamFailed
        } else {
            Refusal::NoCapacity {
                retry_after_ms: 1_000,
            }
        }
    }
}

fn route_of<'a>(config: &'a ServiceConfig, work: &Work) -> Result<Option<&'a PlainRoute>, Refusal> {
    match work {
        Work::Chat { .. } => Ok(None),
        Work::Plain { route, .. } => config
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
    work: &Work,
    route: Option<&PlainRoute>,
) -> Result<Name, Refusal> {
    if let Some(route) = route {
        return Ok(route.service.clone());
    }
    let Work::Chat { model, .. } = work else {
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

fn kind_of(
    arrival: &Arrival,
    route: Option<&PlainRoute>,
    fallback_key: impl FnOnce() -> Name,
) -> Kind {
    match (&arrival.work, route) {
        (
            Work::Chat {
                model,
                prompt_tokens,
                chunk_hashes,
                max_tokens,
            },
            _,
        ) => Kind::Chat {
            model: model.clone(),
            prompt_tokens: *prompt_tokens,
            chunks: chunk_hashes.clone(),
            max_tokens: *max_tokens,
        },
        (
            Work::Plain {
                idempotency_key,
                body_sha256,
                ..
            },
            route,
        ) => {
            let default = PlainRoute::default();
            let route = route.unwrap_or(&default);
            let once = (route.idempotency == Idempotency::NonIdempotent).then(|| Once {
                key: Key {
                    tenant: arrival.tenant.clone(),
                    key: idempotency_key.clone().unwrap_or_else(fallback_key),
                },
                retention_ms: route.key_retention_ms,
            });
            Kind::Plain {
                body_sha256: *body_sha256,
                timeout_ms: route.timeout_ms,
                once,
            }
        }
    }
}
