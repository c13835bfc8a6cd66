//! The reducer of an entry: turns requests and the outcomes of calls into directives.

use std::hash::BuildHasher;
use std::sync::Arc;

use conf::{Map, Name, Set};
use fleet::{
    InstanceInfo, LimitReport, LimitShare, ListingUpdate, PeerMessage, PrefixUse, SpeedReport,
    UpstreamLoad, UpstreamRecord, Watch, WatchReply,
};

use quarantine::{Admission, Suspects};

use crate::budget::{RetryBudget, RetryBudgetSettings};
use crate::config::{Config, RequestKind};
use crate::cost::PrefixCosts;
use crate::demand::{DemandMeter, DemandedWork};
use crate::exchange::{
    Directive, Outcome, Prompt, Refusal, RefusalReason, Request, StatedLimit, Task, UpstreamCall,
};
use crate::limits::RequestLimit;
use crate::listing::{self, NO_LISTING};
use crate::notices::{self, LeavingUpstreams, Notice, StatedPause};
use crate::place::{self, Choice, FIRST_EVENT_MS, PlacementContext};
use crate::prefix::{Expectation, Observation, PrefixPlacement, Prefixes};
use crate::revocation::{Confirmation, KeyPolicy};
use crate::speed::Expected;
use crate::subscription::Subscription;
use crate::upstream::{AssignedWork, Upstream};
use crate::usage::{UsageCounter, UsageSettings};

/// Backlog of an engine up to which the engine gets more requests of the most urgent rank, in milliseconds. Requests
/// beyond this backlog stay in the entry's queue and are placed later, with newer load information.
const URGENT_MAX_BACKLOG_MS: f64 = 400.0;
/// Backlog of an engine up to which the engine gets more requests of all other ranks, in milliseconds. An engine
/// computes prompts in the order of their arrival, so that its backlog delays more urgent prompts that arrive later.
const MAX_BACKLOG_MS: f64 = 20.0;
/// Minimum time that a caller needs to use an answer, in milliseconds.
const CALLER_MARGIN_MS: u64 = 30;
/// Number added to the priority of a request that will miss its objective, so that the request delays no others.
const LATE_PRIORITY_PENALTY: u8 = 5;
/// Least urgent priority that engines accept.
const LOWEST_PRIORITY: u8 = 9;
/// Multiple of a request's objective after which a retryable request is sent to another upstream if the head of the
/// answer has not arrived.
const HEAD_TIMEOUT_OBJECTIVES: u64 = 2;
/// Multiple of the expected duration of a prefill call after which the call is retried at another engine.
const PREFILL_TIMEOUT_FACTOR: f64 = 3.0;
/// Time added to the timeout of a prefill call, in milliseconds: the engine may compute the prompts of other entries
/// first.
const PREFILL_TIMEOUT_SLACK_MS: f64 = 2_000.0;
/// Divisor of the time until the deadline, which gives the longest wait that a caller is told before it retries.
const RETRY_AFTER_DIVISOR: u64 = 3;
/// Shortest wait that a caller is told before it retries, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 100;
/// Largest number of calls to upstreams for one request, whatever their outcomes.
const MAX_CALLS: u32 = 5;
/// Weight of the latest stream in the moving average of the duration of streams.
const STREAM_TIME_WEIGHT: f64 = 0.05;
/// Time in which engines generate a token of a stream, in milliseconds.
const GENERATION_MS: f64 = 10.0;
/// Multiple of the average duration for which a stream may last that a stopping process still begins.
const STREAM_TIME_MARGIN: f64 = 3.0;
/// Shortest interval between log lines about answers of an upstream that state no limit, in milliseconds.
const LIMIT_LOG_INTERVAL_MS: u64 = 1_000;
/// Divisor of the pause of upstreams, which gives the time over which the callers return that are told to wait for its end.
const PAUSE_SPREAD_DIVISOR: u64 = 4;
/// Interval at which queued requests are placed again without other events, in milliseconds.
const DISPATCH_INTERVAL_MS: u64 = 20;

/// Settings of an entry.
#[derive(Clone, Debug, Default)]
pub struct EntrySettings {
    /// Identity of the instance.
    pub info: InstanceInfo,
    /// Replicas named in the settings.
    pub contacts: Vec<InstanceInfo>,
    /// Limits on the retries of all entries together.
    pub retry_budget: RetryBudgetSettings,
    /// How the choice of an engine takes cached prefixes into account.
    pub prefix_placement: PrefixPlacement,
    /// How long keys work without a confirmation of the document.
    pub key_policy: KeyPolicy,
    /// Reports of usage, if the platform asks for them.
    pub usage: Option<UsageSettings>,
    /// Random number of the process.
    pub process_number: u64,
}

/// An input of the entry's reducer.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// Time has passed.
    Tick,
    /// A replica has replied to the subscription; the document in the reply is decoded.
    WatchReply {
        from: Name,
        reply: Box<WatchReply>,
        config: Option<Arc<Config>>,
    },
    /// The time of day, in milliseconds since the Unix epoch.
    TimeOfDay { unix_ms: u64 },
    /// The settings have been read again and may name other replicas.
    Contacts(Vec<InstanceInfo>),
    /// The process ends at `ends_ms` at the latest. Until then, it answers the requests that still arrive.
    Stopping { ends_ms: u64 },
    /// A request has been read in full.
    Arrived { exchange: u64, request: Request },
    /// An engine has computed a prompt and keeps its KV cache under a handle.
    Prefilled { exchange: u64, handle: Name },
    /// An upstream has begun to answer.
    Started { exchange: u64 },
    /// A call to an upstream has ended without an answer that can be forwarded to the caller.
    CallFailed { exchange: u64, outcome: Outcome },
    /// The answer has been forwarded in full, or the caller has disconnected.
    Closed { exchange: u64, is_complete: bool },
    /// The head of an upstream's answer states a limit on requests, or none.
    LimitStated { upstream: Name, stated: StatedLimit },
    /// The head of an upstream's answer states how long work takes there, in percent of the usual duration.
    SlownessStated { upstream: Name, percent: u16 },
    /// The head of an upstream's answer announces its end or a pause.
    NoticeStated { upstream: Name, notice: Notice },
    /// It has been checked whether an upstream has crashed.
    UpstreamChecked { upstream: Name, has_crashed: bool },
}

/// An output of the entry's reducer, to be carried out in order.
#[derive(Clone, Debug)]
pub enum EntryEffect {
    /// Gives a directive to an exchange.
    Directive { exchange: u64, directive: Directive },
    /// Sends a message, which may be lost.
    Send {
        to: Name,
        address: Name,
        message: Box<PeerMessage>,
    },
    /// Frees the KV cache under a handle that will not be used.
    FreeHandle { address: Name, handle: Name },
    /// Checks whether an upstream has crashed: whether it refuses connections.
    CheckUpstream { upstream: Name, address: Name },
    /// Counts a prefill whose duration shows whether its shared prefix was held.
    PrefixObserved {
        /// Probability with which the prefix was believed held.
        expected: f64,
        is_held: bool,
        /// Tokens of the prefix.
        tokens: u32,
    },
    /// Writes a log line.
    Log {
        importance: Importance,
        text: String,
    },
}

/// Importance of a log line. Less important lines are dropped first when the output cannot take all lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Importance {
    /// A step of a request that has not failed.
    Step,
    /// A change of the instance's state, or a failed call.
    StateChange,
    /// The end of a request that failed or was refused.
    Failure,
}

#[derive(Clone, Debug)]
struct ExchangeState {
    request: Request,
    arrived_ms: u64,
    assigned_work: Option<AssignedWork>,
    failed_upstreams: Vec<Name>,
    /// Hash of the request id, which spreads requests over upstreams of equal cost.
    request_hash: u64,
    /// Number of calls in which an upstream may have run the request.
    runs: u32,
    /// Whether an upstream has sent a failed answer, which may be forwarded to the caller.
    has_failed_answer: bool,
    /// Number of calls, including those that reached no upstream.
    calls: u32,
    /// Number of prefill calls that may have reached an upstream.
    prefill_calls: u32,
    /// Number of calls to run the request or to generate from a handle that may have reached an upstream.
    run_calls: u32,
    /// Whether prefill engines are excluded, since the budget allows no further prefill call or no engine could take
    /// the computed prompt.
    excludes_prefill_engines: bool,
    /// Whether an upstream has begun to run the request, so that the request counts as usage.
    is_counted: bool,
    /// When the first event or the whole answer arrived.
    started_ms: Option<u64>,
    /// When the latest call was made.
    sent_ms: u64,
    /// What the latest call is expected to take at the usual speed of its upstream.
    expected: Option<Expected>,
    /// When the first event of the latest call's answer arrived.
    writing_since_ms: Option<u64>,
    /// Whether the request tries a part under which engines have crashed.
    is_trial: bool,
    /// What the duration of the latest call shows about the engine's cache.
    expectation: Option<Expectation>,
    /// Engine whose limit already counts the hand-off of this request.
    reserved_decoder: Option<Name>,
    task: Option<Task>,
}

/// An entry's state.
#[derive(Debug)]
pub struct Entry {
    settings: EntrySettings,
    subscription: Subscription,
    /// When the configuration is known to have been the newest.
    confirmation: Confirmation,
    takes_keys: bool,
    config: Option<Arc<Config>>,
    /// Version of the list of upstreams, or [`NO_LISTING`].
    listing: u64,
    has_listing: bool,
    /// Replica that has sent or confirmed the list, and when it was read from the platform, in milliseconds.
    listing_source: Option<(Name, u64)>,
    /// Number of entries in the whole system, as the replica last reported.
    entry_count: u32,
    upstreams: Map<Name, Upstream>,
    /// Instance ids of the upstreams of each service.
    services: Map<Name, ServiceUpstreams>,
    /// Instance ids of the upstreams by the keys that stand for them in load messages.
    upstream_ids: Map<u64, Name>,
    /// Upstreams that have announced their end.
    leaving: LeavingUpstreams,
    /// Upstreams to which other entries have sent load.
    loaded_by_others: Vec<Name>,
    exchanges: Map<u64, ExchangeState>,
    /// Requests queued for an engine, by service.
    queues: Map<Name, Vec<u64>>,
    retry_budgets: Map<Name, RetryBudget>,
    /// Shared prefixes that this entry has sent to engines since the last message to the replica.
    prefix_uses: Vec<PrefixUse>,
    /// Sizes and traffic of prompt parts.
    prefixes: Prefixes,
    next_dispatch_ms: u64,
    /// When the process ends, if it is stopping.
    ends_ms: Option<u64>,
    /// Moving average of the time from the first event of a stream to its end, in milliseconds.
    stream_ms: f64,
    /// Parts of prompts under which engines crash.
    suspects: Suspects,
    /// Requests that upstreams have begun to run; none if the platform asks for no reports.
    usage: Option<UsageCounter>,
    /// Work that callers ask of services whose upstreams are ordered by demand.
    demand: DemandMeter,
}

impl Entry {
    /// Creates an entry without a configuration or a list of upstreams.
    pub fn new(settings: EntrySettings) -> Self {
        let contacts = settings.contacts.clone();
        let usage = settings.usage.clone();
        let usage = usage.map(|usage| UsageCounter::new(usage, settings.process_number));
        Self {
            subscription: Subscription::new(settings.info.clone(), contacts),
            settings,
            confirmation: Confirmation::default(),
            takes_keys: true,
            config: None,
            listing: NO_LISTING,
            has_listing: false,
            listing_source: None,
            entry_count: 0,
            upstreams: Map::default(),
            services: Map::default(),
            upstream_ids: Map::default(),
            leaving: LeavingUpstreams::default(),
            loaded_by_others: Vec::new(),
            exchanges: Map::default(),
            queues: Map::default(),
            retry_budgets: Map::default(),
            prefix_uses: Vec::new(),
            prefixes: Prefixes::default(),
            next_dispatch_ms: 0,
            ends_ms: None,
            stream_ms: 0.0,
            suspects: Suspects::default(),
            usage,
            demand: DemandMeter::default(),
        }
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Returns whether the entry has a configuration and a list of upstreams, so that it can accept callers.
    pub fn is_ready(&self) -> bool {
        self.config.is_some() && self.has_listing
    }

    /// Returns whether new callers are to be sent to the entry, as far as the age of its configuration allows.
    pub fn is_confirmed(&self, now_ms: u64) -> bool {
        let age_ms = self.confirmation.age_ms(now_ms, None);
        !self.has_accounts() || self.settings.key_policy.is_ready(age_ms)
    }

    /// Returns whether requests with keys may be taken: a key may have been taken away without the entry's knowledge.
    pub fn takes_keys(&self, now_ms: u64) -> bool {
        let age_ms = self.confirmation.age_ms(now_ms, None);
        !self.has_accounts() || self.settings.key_policy.takes_keys(age_ms)
    }

    fn has_accounts(&self) -> bool {
        let accounts = self.config.as_ref().map(|config| config.has_accounts());
        accounts.unwrap_or_default()
    }

    fn log_key_changes(&mut self, now_ms: u64, effects: &mut Vec<EntryEffect>) {
        let takes_keys = self.takes_keys(now_ms);
        if std::mem::replace(&mut self.takes_keys, takes_keys) != takes_keys {
            let age_ms = self.confirmation.age_ms(now_ms, None);
            let age = age_ms.map_or_else(|| "unknown".to_owned(), |age_ms| age_ms.to_string());
            let text = format!("takes_keys={takes_keys} document_age_ms={age}");
            log(effects, Importance::StateChange, text);
        }
    }

    /// Returns the version of the list of upstreams.
    pub fn listing(&self) -> u64 {
        self.listing
    }

    /// Returns the number of open exchanges.
    pub fn open_exchanges(&self) -> usize {
        self.exchanges.len()
    }

    /// Returns whether a replica has all counts of usage.
    pub fn has_sent_usage(&self) -> bool {
        self.usage
            .as_ref()
            .is_none_or(UsageCounter::is_acknowledged)
    }

    /// Returns the prompt tokens that an upstream still has to compute for an open exchange.
    pub fn prompt_tokens(&self, exchange: u64) -> Option<u32> {
        let assigned_work = self.exchanges.get(&exchange)?.assigned_work.as_ref()?;
        Some(assigned_work.tokens)
    }

    /// Handles one event and appends the effects.
    pub fn step(&mut self, now_ms: u64, event: EntryEvent, effects: &mut Vec<EntryEffect>) {
        match event {
            EntryEvent::Tick => self.on_tick(now_ms, effects),
            EntryEvent::WatchReply {
                from,
                reply,
                config,
            } => self.on_watch_reply(now_ms, &from, *reply, config, effects),
            EntryEvent::TimeOfDay { unix_ms } => {
                if let Some(usage) = &mut self.usage {
                    usage.observe_time(now_ms, unix_ms);
                }
            }
            EntryEvent::Contacts(contacts) => self.subscription.set_contacts(contacts),
            EntryEvent::Stopping { ends_ms } => self.ends_ms = Some(ends_ms),
            EntryEvent::Arrived { exchange, request } => {
                self.on_arrived(now_ms, exchange, request, effects);
            }
            EntryEvent::Prefilled { exchange, handle } => {
                self.on_prefilled(now_ms, exchange, handle, effects);
            }
            EntryEvent::Started { exchange } => self.on_started(now_ms, exchange, effects),
            EntryEvent::CallFailed { exchange, outcome } => {
                self.on_call_failed(now_ms, exchange, outcome, effects);
            }
            EntryEvent::Closed {
                exchange,
                is_complete,
            } => {
                self.on_closed(now_ms, exchange, is_complete, effects);
            }
            EntryEvent::LimitStated { upstream, stated } => {
                self.on_limit_stated(now_ms, &upstream, stated, effects);
            }
            EntryEvent::NoticeStated { upstream, notice } => {
                self.on_notice(now_ms, &upstream, notice, effects);
            }
            EntryEvent::SlownessStated { upstream, percent } => {
                if let Some(upstream) = self.upstreams.get_mut(&upstream) {
                    let was_in_use = upstream.speed.is_in_use();
                    upstream.speed.on_stated(now_ms, percent);
                    if !was_in_use {
                        self.put_speeds_in_use();
                    }
                }
            }
            EntryEvent::UpstreamChecked {
                upstream,
                has_crashed,
            } => self.on_upstream_checked(now_ms, &upstream, has_crashed, effects),
        }
    }

    fn on_tick(&mut self, now_ms: u64, effects: &mut Vec<EntryEffect>) {
        self.advance_usage(now_ms, effects);
        let version = self.config.as_ref().map_or(0, |config| config.version());
        for (to, probe) in self.subscription.probes(now_ms, version, self.listing) {
            send_watch(to, probe, effects);
        }
        if self.subscription.is_due(now_ms) {
            let loads = self.own_loads();
            self.observe_generation(now_ms);
            let limits = self.limit_reports(now_ms);
            let due = self.subscription.watch(
                now_ms,
                version,
                self.listing,
                loads,
                std::mem::take(&mut self.prefix_uses),
                &mut self.suspects,
            );
            if let Some((to, mut watch)) = due {
                watch.limits = limits;
                watch.demand = self
                    .demand
                    .rates(now_ms, &self.settings.info.availability_zone);
                self.confirmation.on_sent(now_ms, watch.sequence);
                if let Some(usage) = &mut self.usage {
                    watch.usage = usage.take_unacknowledged(&to.id, watch.sequence);
                }
                watch.speeds = self.speed_reports(now_ms);
                watch.leaving = self.leaving.unlisted();
                send_watch(to, watch, effects);
            }
        }
        self.log_key_changes(now_ms, effects);
        if now_ms >= self.next_dispatch_ms {
            self.dispatch_all_queues(now_ms, effects);
        }
    }

    fn advance_usage(&mut self, now_ms: u64, effects: &mut Vec<EntryEffect>) {
        let Some(usage) = &mut self.usage else {
            return;
        };
        let lost = usage.on_tick(now_ms);
        if lost > 0 {
            let text = format!("usage=lost requests={lost} reason=\"no replica took them\"");
            log(effects, Importance::Failure, text);
        }
    }

    /// Counts a request once, when an upstream has begun to run it.
    fn count_usage(&mut self, now_ms: u64, exchange: u64) {
        if let Some(usage) = &mut self.usage
            && let Some(state) = self.exchanges.get_mut(&exchange)
            && !std::mem::replace(&mut state.is_counted, true)
            && let Some(account) = &state.request.account
        {
            usage.add(now_ms, account);
        }
    }

    fn on_watch_reply(
        &mut self,
        now_ms: u64,
        from: &Name,
        reply: WatchReply,
        config: Option<Arc<Config>>,
        effects: &mut Vec<EntryEffect>,
    ) {
        let is_current = self.subscription.on_reply(now_ms, from, &reply);
        if let Some(usage) = &mut self.usage {
            usage.on_reply(from, reply.sequence);
        }
        if let Some(config) = config {
            self.apply_config(config, from, effects);
        }
        let held_version = self.config.as_ref().map_or(0, |config| config.version());
        let age_ms = reply.document_age_ms;
        self.confirmation
            .on_reply(reply.sequence, reply.version, age_ms, held_version);
        let read_ms = now_ms.saturating_sub(reply.listing_age_ms);
        if let Some(update) = reply.listing_update {
            self.apply_newer_listing(now_ms, reply.listing, update, read_ms, from, effects);
        } else if reply.listing == self.listing && !self.is_older_listing(from, read_ms) {
            self.listing_source = Some((from.clone(), read_ms));
        }
        if !is_current {
            return;
        }
        self.entry_count = reply.entries;
        for verdict in self.suspects.on_update(now_ms, &reply.quarantine) {
            let text = format!("{verdict} source={from}");
            log(effects, Importance::StateChange, text);
        }
        if let Some(loads) = &reply.loads {
            self.set_others_loads(loads);
        }
        self.apply_limit_shares(now_ms, &reply.limit_shares);
        self.apply_speeds(now_ms, &reply.speeds);
        for prefix_use in reply.prefix_uses {
            if let Some(id) = self.upstream_ids.get(&prefix_use.upstream_key)
                && let Some(upstream) = self.upstreams.get_mut(id)
            {
                upstream.on_reported_prefix(prefix_use.key, now_ms);
                if self.settings.prefix_placement == PrefixPlacement::Weighed {
                    let service = &upstream.record.service;
                    let parts = &mut upstream.cached_parts;
                    self.prefixes
                        .on_reported(now_ms, service, prefix_use.key, parts);
                }
            }
        }
        self.subscription.switch_to_preferred(now_ms);
        self.dispatch_all_queues(now_ms, effects);
    }

    /// Returns the limits that are to be reported to the replica, and removes those that are over.
    fn limit_reports(&mut self, now_ms: u64) -> Vec<LimitReport> {
        let mut reports = Vec::new();
        for upstream in self.upstreams.values_mut() {
            let Some(limit) = &mut upstream.limit else {
                continue;
            };
            if limit.is_over(now_ms) {
                upstream.limit = None;
            } else if limit.take_report_due(now_ms) {
                reports.push(limit.report(now_ms, upstream.key));
            }
        }
        reports
    }

    /// Returns what this entry has observed of the speed of upstreams since the latest report.
    fn speed_reports(&mut self, now_ms: u64) -> Vec<SpeedReport> {
        let upstreams = self.upstreams.values_mut();
        upstreams
            .filter_map(|upstream| upstream.speed.take_report(now_ms, upstream.key))
            .collect()
    }

    fn apply_speeds(&mut self, now_ms: u64, speeds: &[SpeedReport]) {
        let mut is_changed = false;
        for report in speeds {
            let id = self.upstream_ids.get(&report.upstream_key);
            if let Some(upstream) = id.and_then(|id| self.upstreams.get_mut(id)) {
                let was_in_use = upstream.speed.is_in_use();
                upstream.speed.on_report(now_ms, report);
                is_changed |= upstream.speed.is_in_use() != was_in_use;
            }
        }
        if is_changed {
            self.put_speeds_in_use();
        }
    }

    /// Makes the speeds count of all upstreams of the services of which one upstream states its slowness.
    fn put_speeds_in_use(&mut self) {
        let in_use = self
            .upstreams
            .values()
            .filter(|upstream| upstream.speed.is_in_use());
        let services: Set<Name> = in_use
            .map(|upstream| upstream.record.service.clone())
            .collect();
        for upstream in self.upstreams.values_mut() {
            if services.contains(&upstream.record.service) {
                upstream.speed.put_in_use();
            }
        }
    }

    fn apply_limit_shares(&mut self, now_ms: u64, shares: &[LimitShare]) {
        for share in shares {
            let id = self.upstream_ids.get(&share.upstream_key);
            let Some(upstream) = id.and_then(|id| self.upstreams.get_mut(id)) else {
                continue;
            };
            match (share.per_s, &mut upstream.limit) {
                (Some(_), Some(limit)) => {
                    limit.set_share(now_ms, share.share_per_s, self.entry_count);
                }
                (Some(per_s), limit @ None) => limit
                    .insert(RequestLimit::new(now_ms, per_s))
                    .set_share(now_ms, share.share_per_s, self.entry_count),
                (None, Some(limit)) => limit.on_reported_end(now_ms),
                (None, None) => {}
            }
        }
    }

    /// Returns the reason for the refusal of a request, which may have run at an upstream that failed.
    fn after_runs(&self, exchange: u64, reason: RefusalReason) -> RefusalReason {
        match self.exchanges[&exchange].runs {
            0 => reason,
            _ => RefusalReason::Failed,
        }
    }

    /// Returns the load that this entry has sent to upstreams.
    fn own_loads(&self) -> Vec<UpstreamLoad> {
        let assigned_work = self
            .exchanges
            .values()
            .filter_map(|state| state.assigned_work.as_ref());
        let busy: Set<&Name> = assigned_work.map(|work| &work.upstream).collect();
        busy.into_iter()
            .filter_map(|id| self.upstreams.get(id)?.own_load())
            .collect()
    }

    /// Replaces the load that other entries have sent to upstreams.
    fn set_others_loads(&mut self, loads: &[UpstreamLoad]) {
        let unloaded = UpstreamLoad::default();
        for id in std::mem::take(&mut self.loaded_by_others) {
            if let Some(upstream) = self.upstreams.get_mut(&id) {
                upstream.set_others_load(&unloaded);
            }
        }
        for load in loads {
            if let Some(id) = self.upstream_ids.get(&load.upstream_key)
                && let Some(upstream) = self.upstreams.get_mut(id)
            {
                upstream.set_others_load(load);
                self.loaded_by_others.push(id.clone());
            }
        }
    }

    /// Puts a configuration in force unless the entry already has the same or a newer version.
    fn apply_config(&mut self, config: Arc<Config>, from: &Name, effects: &mut Vec<EntryEffect>) {
        let current_version = self.config.as_ref().map_or(0, |config| config.version());
        if config.version() <= current_version {
            return;
        }
        let version = config.version();
        self.config = Some(config);
        let text =
            format!("config=changed version={version} before={current_version} source={from}");
        log(effects, Importance::StateChange, text);
    }

    /// Applies what this entry lacked of a version of the list of upstreams that was read at `read_ms`, unless another
    /// replica has sent a version that was read later.
    fn apply_newer_listing(
        &mut self,
        now_ms: u64,
        version: u64,
        update: ListingUpdate,
        read_ms: u64,
        from: &Name,
        effects: &mut Vec<EntryEffect>,
    ) {
        if self.is_older_listing(from, read_ms) {
            let text = format!("listing={version:x} outcome=older source={from}");
            log(effects, Importance::Step, text);
            return;
        }
        if self.apply_listing(now_ms, version, update, from, effects) {
            self.listing_source = Some((from.clone(), read_ms));
        }
    }

    /// Returns whether another replica than `from` has sent or confirmed a list that was read after `read_ms`.
    fn is_older_listing(&self, from: &Name, read_ms: u64) -> bool {
        let is_newer = |(source, known_ms): &(Name, u64)| source != from && read_ms < *known_ms;
        self.listing_source.as_ref().is_some_and(is_newer)
    }

    /// Applies what this entry lacked of a version of the list of upstreams. Returns whether the entry then has it.
    fn apply_listing(
        &mut self,
        now_ms: u64,
        version: u64,
        update: ListingUpdate,
        from: &Name,
        effects: &mut Vec<EntryEffect>,
    ) -> bool {
        match update {
            ListingUpdate::Complete(list) => {
                self.leaving.on_listed(now_ms, &list.records);
                let listed: Set<&Name> = list.records.iter().map(|record| &record.id).collect();
                self.upstreams.retain(|id, _| listed.contains(id));
                for record in &list.records {
                    self.update_upstream(record.clone(), from, effects);
                }
            }
            // The changes do not apply to the list that this entry has, whose version the next message states.
            ListingUpdate::Changes { base, .. } if base != self.listing => return false,
            ListingUpdate::Changes {
                changed, removed, ..
            } => {
                for id in removed {
                    self.upstreams.remove(&id);
                }
                self.leaving.on_listed(now_ms, &changed);
                for record in changed {
                    self.update_upstream(record, from, effects);
                }
            }
        }
        self.index_upstreams();
        self.put_speeds_in_use();
        let hashes = self.upstreams.values().map(|upstream| upstream.record_hash);
        self.listing = match listing::version(hashes) == version {
            true => version,
            false => NO_LISTING,
        };
        self.has_listing = true;
        let count = self.upstreams.len();
        let text = format!(
            "listing=changed listing={:x} upstreams={count} source={from}",
            self.listing
        );
        log(effects, Importance::StateChange, text);
        self.listing == version
    }

    /// Adds an upstream, or updates the record of a known one.
    fn update_upstream(
        &mut self,
        record: UpstreamRecord,
        from: &Name,
        effects: &mut Vec<EntryEffect>,
    ) {
        let id = record.id.clone();
        let known = self.upstreams.get_mut(&id);
        // The reason for a limit may outlast a restart. If it does not, the next answers say so.
        let limit = known.as_ref().and_then(|known| known.limit.clone());
        let Some(upstream) = known.filter(|known| known.record.born_ms == record.born_ms) else {
            let draining = record.draining || self.leaving.contains(&record);
            let mut upstream = Upstream::new(record);
            upstream.record.draining = draining;
            upstream.limit = limit;
            self.upstreams.insert(id, upstream);
            return;
        };
        upstream.record_hash = listing::record_hash(&record);
        // A draining upstream never becomes ready again under the same id and start time.
        let draining = upstream.record.draining || record.draining;
        if draining != upstream.record.draining || record.role != upstream.record.role {
            let role = record.role;
            let text = format!("upstream={id} draining={draining} role={role:?} source={from}");
            log(effects, Importance::StateChange, text);
        }
        upstream.record = UpstreamRecord { draining, ..record };
    }

    fn index_upstreams(&mut self) {
        self.services.clear();
        self.upstream_ids.clear();
        for (id, upstream) in &self.upstreams {
            let service = upstream.record.service.clone();
            let service = self.services.entry(service).or_default();
            let zone = upstream.record.availability_zone.clone();
            match zone == self.settings.info.availability_zone {
                true => service.own_zone.push(id.clone()),
                false => service.other_zones.push(id.clone()),
            }
            service.zones.insert(zone);
            self.upstream_ids.insert(upstream.key, id.clone());
        }
    }

    fn on_arrived(
        &mut self,
        now_ms: u64,
        exchange: u64,
        mut request: Request,
        effects: &mut Vec<EntryEffect>,
    ) {
        if let Some(ends_ms) = self.ends_ms {
            let needed_ms = match request.kind {
                RequestKind::Stream { .. } => (self.stream_ms * STREAM_TIME_MARGIN) as u64,
                RequestKind::Idempotent => request.objective_ms.saturating_sub(now_ms),
                // The end of the process must not leave it open whether the request has run.
                RequestKind::NonIdempotent => request.deadline_ms.saturating_sub(now_ms),
            };
            let begin_ms = ends_ms.saturating_sub(needed_ms);
            request.begin_deadline_ms = request.begin_deadline_ms.min(begin_ms);
            request.deadline_ms = request.deadline_ms.min(ends_ms);
        }
        let budget = self
            .retry_budgets
            .entry(request.service.clone())
            .or_default();
        budget.count_request(now_ms);
        let request_hash = foldhash::fast::FixedState::default().hash_one(&request.id);
        let state = ExchangeState {
            request_hash,
            request,
            arrived_ms: now_ms,
            assigned_work: None,
            failed_upstreams: Vec::new(),
            runs: 0,
            has_failed_answer: false,
            calls: 0,
            prefill_calls: 0,
            run_calls: 0,
            excludes_prefill_engines: false,
            started_ms: None,
            sent_ms: now_ms,
            expected: None,
            writing_since_ms: None,
            is_trial: false,
            expectation: None,
            is_counted: false,
            reserved_decoder: None,
            task: None,
        };
        let work = DemandedWork {
            requests: 1,
            ..DemandedWork::default()
        };
        self.count_demand(now_ms, &state.request.service, work);
        self.exchanges.insert(exchange, state);
        if !self.refuse_if_blocked(now_ms, exchange, effects) {
            self.place(now_ms, exchange, effects);
        }
    }

    /// Counts work for a service whose upstreams are ordered by demand.
    fn count_demand(&mut self, now_ms: u64, service: &Name, work: DemandedWork) {
        let config = self.config.as_ref();
        let is_scaled = config
            .and_then(|config| config.service(service))
            .is_some_and(|service| service.scaling.is_some());
        if is_scaled {
            self.demand.add(now_ms, service, work);
        }
    }

    /// Refuses a request if a part of its prompt is blocked. Returns whether the request was refused.
    fn refuse_if_blocked(
        &mut self,
        now_ms: u64,
        exchange: u64,
        effects: &mut Vec<EntryEffect>,
    ) -> bool {
        let Some(state) = self.exchanges.get_mut(&exchange) else {
            return false;
        };
        let Some(prompt) = state.request.prompt.as_ref().filter(|_| !state.is_trial) else {
            return false;
        };
        match self.suspects.admit(now_ms, prompt.shared_keys()) {
            Admission::Free => return false,
            Admission::Trial { part } => {
                state.is_trial = true;
                let text = format!(
                    "request={} decision=try_part parts={part:016x}",
                    state.request.id
                );
                log(effects, Importance::StateChange, text);
                return false;
            }
            Admission::Blocked { retry_in_ms, .. } => {
                let reason = match (state.has_failed_answer, state.runs) {
                    (true, _) => {
                        direct(effects, exchange, Directive::ForwardFailure);
                        return true;
                    }
                    (false, 0) => RefusalReason::Quarantined,
                    (false, _) => RefusalReason::Failed,
                };
                self.refuse(now_ms, exchange, reason, retry_in_ms, effects);
            }
        }
        true
    }

    /// Records which of the running requests show that engines generate from their prompts.
    fn observe_generation(&mut self, now_ms: u64) {
        if !self.suspects.needs_sound_reports() {
            return;
        }
        for state in self.exchanges.values() {
            if let (Some(prompt), Some(began_ms)) = (&state.request.prompt, state.writing_since_ms)
            {
                self.suspects
                    .on_generating(now_ms, prompt.shared_keys(), began_ms, false);
            }
        }
    }

    /// Records a broken call as a possible crash of the engine under the request.
    fn suspect_request(
        &mut self,
        now_ms: u64,
        exchange: u64,
        upstream: &Name,
        effects: &mut Vec<EntryEffect>,
    ) {
        let (Some(state), Some(target)) =
            (self.exchanges.get(&exchange), self.upstreams.get(upstream))
        else {
            return;
        };
        let Some(prompt) = &state.request.prompt else {
            return;
        };
        // An engine that drains ends at some time.
        if target.record.draining {
            return;
        }
        let parts = prompt.shared_keys();
        let began_ms = state.writing_since_ms;
        if self.suspects.on_broken(now_ms, target.key, parts, began_ms) {
            effects.push(EntryEffect::CheckUpstream {
                upstream: upstream.clone(),
                address: target.record.address.clone(),
            });
        }
    }

    fn on_limit_stated(
        &mut self,
        now_ms: u64,
        id: &Name,
        stated: StatedLimit,
        effects: &mut Vec<EntryEffect>,
    ) {
        let entries = self.entry_count;
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        match (stated, &mut upstream.limit) {
            (StatedLimit::PerSecond(per_s), Some(limit)) => {
                limit.on_stated(now_ms, per_s, entries);
            }
            (StatedLimit::PerSecond(per_s), None) => {
                upstream.limit = Some(RequestLimit::new(now_ms, per_s));
            }
            (StatedLimit::Absent, Some(limit)) => limit.on_unstated(now_ms),
            (StatedLimit::Absent, None) | (StatedLimit::Invalid, _) => {}
        }
        if upstream.stated_limit == stated {
            return;
        }
        // A log line for each change of the limit, but not for each answer of an upstream whose answers differ.
        let is_due = now_ms >= upstream.limit_logged_ms + LIMIT_LOG_INTERVAL_MS;
        if is_due || matches!(stated, StatedLimit::PerSecond(_)) {
            upstream.limit_logged_ms = now_ms;
            let text = match stated {
                StatedLimit::Absent => format!("upstream={id} limit=none"),
                StatedLimit::PerSecond(per_s) => format!("upstream={id} limit={per_s}"),
                StatedLimit::Invalid => format!("upstream={id} limit=invalid outcome=ignored"),
            };
            log(effects, Importance::StateChange, text);
        }
        upstream.stated_limit = stated;
    }

    fn on_notice(
        &mut self,
        now_ms: u64,
        id: &Name,
        notice: Notice,
        effects: &mut Vec<EntryEffect>,
    ) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        if notice.is_leaving {
            let key = notices::key(id, upstream.record.born_ms);
            upstream.record.draining = true;
            if self.leaving.insert(now_ms, key) {
                let text = format!("upstream={id} draining=true source=answer");
                log(effects, Importance::StateChange, text);
            }
        }
        let was_paused = now_ms < upstream.paused_until_ms;
        let text = match notice.pause {
            StatedPause::Absent => return,
            StatedPause::Until(until_ms) => {
                upstream.paused_until_ms = upstream.paused_until_ms.max(until_ms);
                format!("pause_ms={}", until_ms.saturating_sub(now_ms))
            }
            StatedPause::Invalid => "pause=invalid outcome=ignored".to_owned(),
        };
        if !was_paused && now_ms >= upstream.limit_logged_ms + LIMIT_LOG_INTERVAL_MS {
            upstream.limit_logged_ms = now_ms;
            let text = format!("upstream={id} {text}");
            log(effects, Importance::StateChange, text);
        }
    }

    /// Returns the wait that a caller is told if no upstream of a service can take its request, in milliseconds: until the
    /// first pause ends that an upstream has asked for. Callers are spread over a part of that time.
    fn pause_wait_ms(&self, now_ms: u64, exchange: u64) -> u64 {
        let state = &self.exchanges[&exchange];
        let upstreams = self.service_upstreams(&state.request.service);
        let wait_ms = place::pause_wait_ms(now_ms, upstreams);
        let spread_ms = wait_ms / PAUSE_SPREAD_DIVISOR;
        wait_ms + state.request_hash % (spread_ms + 1)
    }

    fn on_upstream_checked(
        &mut self,
        now_ms: u64,
        upstream: &Name,
        has_crashed: bool,
        effects: &mut Vec<EntryEffect>,
    ) {
        let key = listing::upstream_key(upstream);
        let suspects = self.suspects.on_checked(now_ms, key, has_crashed);
        let text = format!(
            "upstream={upstream} crashed={has_crashed} suspects={}",
            suspects.unwrap_or(0)
        );
        log(effects, Importance::StateChange, text);
    }

    /// Returns whether the answer to a request cannot begin, or end before this process, in time.
    fn is_too_late(&self, now_ms: u64, request: &Request, expected_ms: f64) -> bool {
        now_ms + expected_ms as u64 + CALLER_MARGIN_MS > request.begin_deadline_ms
    }

    /// Sends a request to an upstream, queues it, or refuses it.
    fn place(&mut self, now_ms: u64, exchange: u64, effects: &mut Vec<EntryEffect>) {
        let Some(state) = self.exchanges.get(&exchange) else {
            return;
        };
        match state.request.prompt {
            Some(_) => self.place_prompt(now_ms, exchange, effects),
            None => self.place_plain(now_ms, exchange, effects),
        }
    }

    fn place_plain(&mut self, now_ms: u64, exchange: u64, effects: &mut Vec<EntryEffect>) {
        let state = &self.exchanges[&exchange];
        if self.ends_ms.is_some()
            && state.runs == 0
            && self.is_too_late(now_ms, &state.request, 0.0)
        {
            return self.refuse(now_ms, exchange, RefusalReason::TooLate, 0, effects);
        }
        let context = self.placement_context(now_ms, state);
        let upstreams = self.service_upstreams(&state.request.service);
        let Some(upstream) = place::choose_plain(&context, upstreams) else {
            let upstreams = self.service_upstreams(&state.request.service);
            let (reason, wait_ms) = match place::limit_wait_ms(&context, upstreams) {
                Some(wait_ms) => (RefusalReason::Limited, wait_ms as u64),
                None => (
                    RefusalReason::NoUpstream,
                    self.pause_wait_ms(now_ms, exchange),
                ),
            };
            let reason = self.after_runs(exchange, reason);
            return self.refuse(now_ms, exchange, reason, wait_ms, effects);
        };
        let upstream = upstream.record.id.clone();
        let plan = CallPlan {
            task: Task::Run,
            tokens: 0,
            expected_ms: None,
            fetch_from: None,
            shared_age_ms: None,
            expectation: None,
        };
        self.send_request(now_ms, exchange, &upstream, plan, effects);
    }

    fn place_prompt(&mut self, now_ms: u64, exchange: u64, effects: &mut Vec<EntryEffect>) {
        let queued_ahead = self.queued_ahead(exchange);
        let Some(choice) = self.choose(now_ms, exchange, queued_ahead) else {
            let wait_ms = self.pause_wait_ms(now_ms, exchange);
            let reason = RefusalReason::NoUpstream;
            return self.refuse(now_ms, exchange, reason, wait_ms, effects);
        };
        let request = &self.exchanges[&exchange].request;
        let (service, rank) = (request.service.clone(), request.rank);
        // A request that waits is checked while it waits; one that arrives late at a stopping process is not sent.
        let expected_ms = choice.first_token_ms() + FIRST_EVENT_MS;
        if self.ends_ms.is_some() && self.is_too_late(now_ms, request, expected_ms) {
            return self.refuse(now_ms, exchange, RefusalReason::TooLate, 0, effects);
        }
        let is_due = choice.is_due(max_backlog_ms(rank));
        if self.has_more_urgent_queued(&service, exchange) || !is_due {
            return self.enqueue(now_ms, exchange, &choice, effects);
        }
        self.send_to_choice(now_ms, exchange, choice, effects);
    }

    /// Returns the number of queued requests that are sent before a request that arrives.
    fn queued_ahead(&self, exchange: u64) -> usize {
        let request = &self.exchanges[&exchange].request;
        let queue = self.queues.get(&request.service);
        let ahead = |other: &&u64| self.exchanges[*other].request.rank <= request.rank;
        queue.map_or(0, |queue| queue.iter().filter(ahead).count())
    }

    fn choose(&self, now_ms: u64, exchange: u64, queued_ahead: usize) -> Option<Choice> {
        let state = &self.exchanges[&exchange];
        let prompt = state.request.prompt.as_ref()?;
        let context = PlacementContext {
            queued_ahead,
            prefix_costs: self.prefix_costs(&state.request.service),
            ..self.placement_context(now_ms, state)
        };
        let service = self.services.get(&state.request.service)?;
        let engines = |ids| {
            self.known_upstreams(ids)
                .filter(|upstream| !state.excludes_prefill_engines || !upstream.is_prefill())
        };
        let own_zone = engines(&service.own_zone);
        let other_zones = engines(&service.other_zones);
        place::choose_engine(&context, prompt, state.request.rank, own_zone, other_zones)
    }

    fn send_to_choice(
        &mut self,
        now_ms: u64,
        exchange: u64,
        choice: Choice,
        effects: &mut Vec<EntryEffect>,
    ) {
        let task = match choice.is_prefill {
            true => Task::Prefill,
            false => Task::Run,
        };
        let decoder = match task {
            Task::Prefill => self.limited_decoder(now_ms, exchange, &choice.upstream),
            Task::Run | Task::Generate { .. } => None,
        };
        let plan = CallPlan {
            task,
            tokens: choice.tokens,
            expected_ms: Some(choice.first_token_ms()),
            fetch_from: choice.fetch_from,
            shared_age_ms: choice.shared_age_ms,
            expectation: choice.expectation,
        };
        self.send_request(now_ms, exchange, &choice.upstream, plan, effects);
        if let Some(decoder) = decoder {
            self.reserve_decoder(now_ms, exchange, decoder);
        }
    }

    /// Returns the engine that would generate from the prompt that another one computes, if its requests are limited.
    fn limited_decoder(&self, now_ms: u64, exchange: u64, source: &Name) -> Option<Name> {
        let state = self.exchanges.get(&exchange)?;
        let context = self.placement_context(now_ms, state);
        let source = self.upstreams.get(source)?;
        let upstreams = self.service_upstreams(&state.request.service);
        let decoder = place::choose_decoder(&context, source, upstreams)?;
        decoder.limit.as_ref().map(|_| decoder.record.id.clone())
    }

    /// Counts the hand-off of a request at the engine that is to generate, so that its limit allows it later.
    fn reserve_decoder(&mut self, now_ms: u64, exchange: u64, decoder: Name) {
        let limit = self.upstreams.get_mut(&decoder);
        if let Some(limit) = limit.and_then(|upstream| upstream.limit.as_mut()) {
            limit.take(now_ms, self.entry_count);
        }
        if let Some(state) = self.exchanges.get_mut(&exchange) {
            state.reserved_decoder = Some(decoder);
        }
    }

    /// Returns whether a more urgent request is queued for the same service.
    fn has_more_urgent_queued(&self, service: &Name, exchange: u64) -> bool {
        let Some(queue) = self.queues.get(service) else {
            return false;
        };
        let request = &self.exchanges[&exchange].request;
        queue.iter().any(|other| {
            let other = &self.exchanges[other].request;
            (other.rank, other.deadline_ms) < (request.rank, request.deadline_ms)
        })
    }

    /// Queues a request, or refuses it if it cannot be answered in time.
    fn enqueue(
        &mut self,
        now_ms: u64,
        exchange: u64,
        choice: &Choice,
        effects: &mut Vec<EntryEffect>,
    ) {
        let request = &self.exchanges[&exchange].request;
        let service = request.service.clone();
        let queue_ms = self.queue_ms(now_ms, &service, request.rank);
        let expected_ms = choice.first_token_ms() + queue_ms + FIRST_EVENT_MS;
        if self.is_too_late(now_ms, request, expected_ms) {
            let reason = RefusalReason::TooLate;
            return self.refuse(now_ms, exchange, reason, expected_ms as u64, effects);
        }
        let id = request.id.clone();
        let text = format!(
            "request={id} decision=wait wait_ms={:.0} queue_ms={queue_ms:.0} best={}",
            choice.wait_ms, choice.upstream
        );
        log(effects, Importance::Step, text);
        self.queues.entry(service).or_default().push(exchange);
    }

    /// Returns the time to compute the queued requests of this and more urgent ranks in all entries of this zone, in
    /// milliseconds, assuming that each entry has queued as many as this one.
    fn queue_ms(&self, now_ms: u64, service: &Name, rank: u8) -> f64 {
        let Some(queue) = self.queues.get(service) else {
            return 0.0;
        };
        let tokens: u32 = queue
            .iter()
            .map(|exchange| &self.exchanges[exchange].request)
            .filter(|request| request.rank <= rank)
            .filter_map(|request| request.prompt.as_ref())
            .map(|prompt| prompt.tokens - prompt.shared_prefix().map_or(0, |(_, tokens)| tokens))
            .sum();
        let Some(service) = self.services.get(service) else {
            return 0.0;
        };
        let tokens_per_ms: f64 = self
            .known_upstreams(&service.own_zone)
            .map(|upstream| place::prefill_tokens_per_ms(upstream, now_ms))
            .sum();
        let entries = f64::from(self.entry_count.max(1)) / service.zones.len().max(1) as f64;
        f64::from(tokens) * entries.max(1.0) / tokens_per_ms.max(place::PREFILL_TOKENS_PER_MS)
    }

    fn dispatch_all_queues(&mut self, now_ms: u64, effects: &mut Vec<EntryEffect>) {
        self.next_dispatch_ms = now_ms + DISPATCH_INTERVAL_MS;
        let services: Vec<Name> = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(service, _)| service.clone())
            .collect();
        for service in services {
            self.dispatch_queue(now_ms, &service, effects);
        }
    }

    /// Sends queued requests to upstreams, the most urgent first, and refuses those that can no longer be answered in
    /// time.
    fn dispatch_queue(&mut self, now_ms: u64, service: &Name, effects: &mut Vec<EntryEffect>) {
        let Some(mut queue) = self.queues.remove(service) else {
            return;
        };
        queue.retain(|exchange| self.exchanges.contains_key(exchange));
        queue.sort_by_key(|exchange| {
            let request = &self.exchanges[exchange].request;
            let is_late = now_ms > request.objective_ms;
            (is_late, request.rank, request.deadline_ms)
        });
        let mut remaining = Vec::new();
        for exchange in queue {
            if self.refuse_if_blocked(now_ms, exchange, effects) {
                continue;
            }
            let rank = self.exchanges[&exchange].request.rank;
            match self.choose(now_ms, exchange, remaining.len()) {
                None => {
                    let wait_ms = self.pause_wait_ms(now_ms, exchange);
                    let reason = RefusalReason::NoUpstream;
                    self.refuse(now_ms, exchange, reason, wait_ms, effects);
                }
                Some(choice) => {
                    let request = &self.exchanges[&exchange].request;
                    let expected_ms = choice.first_token_ms() + FIRST_EVENT_MS;
                    if self.is_too_late(now_ms, request, expected_ms) {
                        let reason = RefusalReason::TooLate;
                        self.refuse(now_ms, exchange, reason, expected_ms as u64, effects);
                    } else if !choice.is_due(max_backlog_ms(rank)) {
                        remaining.push(exchange);
                    } else {
                        self.send_to_choice(now_ms, exchange, choice, effects);
                    }
                }
            }
        }
        if !remaining.is_empty() {
            self.queues.insert(service.clone(), remaining);
        }
    }

    fn send_request(
        &mut self,
        now_ms: u64,
        exchange: u64,
        upstream: &Name,
        plan: CallPlan,
        effects: &mut Vec<EntryEffect>,
    ) {
        let CallPlan {
            task,
            tokens,
            expected_ms,
            fetch_from,
            shared_age_ms,
            expectation,
        } = plan;
        let Some(state) = self.exchanges.get_mut(&exchange) else {
            return;
        };
        let Some(target) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let request = &state.request;
        state.expected = Expected::of(target, &task, request.prompt.as_ref(), tokens);
        target.add_request(tokens);
        // The request of a reserved hand-off was counted when its prompt was sent.
        if state.reserved_decoder.take().as_ref() != Some(upstream)
            && let Some(limit) = &mut target.limit
        {
            limit.take(now_ms, self.entry_count);
        }
        state.assigned_work = Some(AssignedWork {
            upstream: upstream.clone(),
            tokens,
        });
        state.calls += 1;
        state.sent_ms = now_ms;
        state.writing_since_ms = None;
        match task {
            Task::Prefill => state.prefill_calls += 1,
            Task::Run | Task::Generate { .. } => state.run_calls += 1,
        }
        // Without regard to the engine's memory, a prefix that an engine receives only to generate counts as evicted, since
        // that engine receives the prompts of many prefill engines.
        let computes_prompt = !matches!(task, Task::Generate { .. });
        let is_weighed = self.settings.prefix_placement == PrefixPlacement::Weighed;
        let shared_prefix = request.prompt.as_ref().and_then(Prompt::shared_prefix);
        if let Some((key, tokens)) = shared_prefix.filter(|_| computes_prompt || is_weighed) {
            let is_due = target.use_shared_prefix(key, now_ms);
            if is_due && tokens >= place::FETCH_MIN_TOKENS {
                let upstream_key = target.key;
                self.prefix_uses.push(PrefixUse { key, upstream_key });
            }
        }
        if is_weighed && let Some(prompt) = &request.prompt {
            let service = &request.service;
            let parts = &mut target.cached_parts;
            if computes_prompt {
                let held_tokens = f64::from(prompt.tokens.saturating_sub(tokens));
                self.prefixes
                    .on_computed(now_ms, service, prompt, held_tokens, parts);
            } else {
                self.prefixes.on_handed_off(now_ms, service, prompt, parts);
            }
        }
        state.expectation = expectation;
        let first_event_ms = now_ms + expected_ms.map_or(0, |ms| (ms + FIRST_EVENT_MS) as u64);
        let priority = expected_ms.map(|_| match first_event_ms > request.objective_ms {
            true => (request.rank + LATE_PRIORITY_PENALTY).min(LOWEST_PRIORITY),
            false => request.rank.min(LATE_PRIORITY_PENALTY - 1),
        });
        let call = UpstreamCall {
            upstream: upstream.clone(),
            address: target.record.address.clone(),
            fetch_from: fetch_from.clone(),
            deadline_ms: request.deadline_ms,
            head_deadline_ms: head_deadline_ms(now_ms, state, &task, expected_ms),
            priority,
            task: task.clone(),
        };
        let text = format!(
            "request={} decision=send upstream={upstream} task={} rank={} tokens={tokens} shared={} shared_age_ms={} running={} \
             expected_ms={:.0} slowness={:.2}/{:.2} stated={:.2} fetch_from={} left_ms={} send={}",
            request.id,
            task_name(&task),
            request.rank,
            shared_prefix.map_or(0, |(_, tokens)| tokens),
            shared_age_ms.map_or_else(|| "none".to_owned(), |age_ms| age_ms.to_string()),
            target.total_running(),
            expected_ms.unwrap_or(0.0),
            target.speed.prompt_factor(now_ms),
            target.speed.output_factor(now_ms),
            target.speed.stated_factor(now_ms),
            fetch_from.as_deref().unwrap_or("none"),
            request.deadline_ms.saturating_sub(now_ms),
            state.calls,
        );
        let service = request.service.clone();
        state.task = Some(task);
        log(effects, Importance::Step, text);
        direct(effects, exchange, Directive::Call(call));
        let work = DemandedWork {
            prompt_tokens: tokens,
            ..DemandedWork::default()
        };
        self.count_demand(now_ms, &service, work);
    }

    fn on_prefilled(
        &mut self,
        now_ms: u64,
        exchange: u64,
        handle: Name,
        effects: &mut Vec<EntryEffect>,
    ) {
        let Some(state) = self.exchanges.get_mut(&exchange) else {
            return;
        };
        let Some(assigned_work) = state.assigned_work.take() else {
            return;
        };
        let source = assigned_work.upstream.clone();
        let service = state.request.service.clone();
        if let Some(upstream) = self.upstreams.get_mut(&source) {
            upstream.remove_request(assigned_work);
            upstream.on_success(now_ms);
            observe_duration(now_ms, state.sent_ms, state.expected.take(), upstream);
        }
        state.task = None;
        self.on_prompt_held(now_ms, exchange, &source);
        self.observe_prefix(now_ms, exchange, effects);
        if self.refuse_if_blocked(now_ms, exchange, effects) {
            self.free_handle(&source, handle, effects);
        } else {
            self.hand_off(now_ms, exchange, &source, handle, effects);
        }
        self.dispatch_queue(now_ms, &service, effects);
    }

    /// Records that an engine has computed or received a prompt.
    fn on_prompt_held(&mut self, now_ms: u64, exchange: u64, upstream: &Name) {
        let is_weighed = self.settings.prefix_placement == PrefixPlacement::Weighed;
        let state = self.exchanges.get(&exchange).filter(|_| is_weighed);
        let prompt = state.and_then(|state| state.request.prompt.as_ref());
        let (Some(prompt), Some(target)) = (prompt, self.upstreams.get_mut(upstream)) else {
            return;
        };
        target.cached_parts.on_computed(now_ms, prompt);
    }

    /// Compares the duration of a prefill with what the choice of its engine expected.
    fn observe_prefix(&mut self, now_ms: u64, exchange: u64, effects: &mut Vec<EntryEffect>) {
        let Some(state) = self.exchanges.get_mut(&exchange) else {
            return;
        };
        let Some(expectation) = state.expectation.take() else {
            return;
        };
        let elapsed_ms = now_ms.saturating_sub(state.sent_ms) as f64;
        let service = &state.request.service;
        let observation = self
            .prefixes
            .observe(now_ms, service, &expectation, elapsed_ms);
        let text = match observation {
            Observation::Unclear => return,
            Observation::Held | Observation::Computed => format!(
                "request={} prefix={} expected={:.2} prefill_ms={elapsed_ms:.0} shared={}",
                state.request.id,
                observation.name(),
                expectation.held.probability,
                state
                    .request
                    .prompt
                    .as_ref()
                    .map_or(0, Prompt::shared_tokens),
            ),
        };
        effects.push(EntryEffect::PrefixObserved {
            expected: expectation.held.probability,
            is_held: observation == Observation::Held,
            tokens: state
                .request
                .prompt
                .as_ref()
                .map_or(0, Prompt::shared_tokens),
        });
        log(effects, Importance::Step, text);
    }

    fn free_handle(&self, source: &Name, handle: Name, effects: &mut Vec<EntryEffect>) {
        if let Some(source) = self.upstreams.get(source) {
            let address = source.record.address.clone();
            effects.push(EntryEffect::FreeHandle { address, handle });
        }
    }

    /// Sends the request to a decode engine in the zone of `source`, which generates from the KV cache that `source`
    /// keeps under a handle.
    fn hand_off(
        &mut self,
        now_ms: u64,
        exchange: u64,
        source: &Name,
        handle: Name,
        effects: &mut Vec<EntryEffect>,
    ) {
        let state = &self.exchanges[&exchange];
        let context = self.placement_context(now_ms, state);
        let Some(source) = self.upstreams.get(source) else {
            return self.place(now_ms, exchange, effects);
        };
        let address = source.record.address.clone();
        let decoder = place::choose_decoder(
            &context,
            source,
            self.service_upstreams(&state.request.service),
        );
        let reserved = state.reserved_decoder.as_ref();
        let reserved = reserved
            .and_then(|id| self.upstreams.get(id))
            .filter(|upstream| context.is_candidate(upstream));
        if let Some(decoder) = reserved.or(decoder) {
            let decoder = decoder.record.id.clone();
            let plan = CallPlan {
                task: Task::Generate { address, handle },
                tokens: 0,
                expected_ms: Some(0.0),
                fetch_from: None,
                shared_age_ms: None,
                expectation: None,
            };
            return self.send_request(now_ms, exchange, &decoder, plan, effects);
        }
        let text = format!(
            "request={} decision=free_handle reason=no_decoder source={address}",
            state.request.id
        );
        log(effects, Importance::StateChange, text);
        effects.push(EntryEffect::FreeHandle { address, handle });
        if let Some(state) = self.exchanges.get_mut(&exchange) {
            state.excludes_prefill_engines = true;
        }
        self.place(now_ms, exchange, effects);
    }

    fn on_started(&mut self, now_ms: u64, exchange: u64, effects: &mut Vec<EntryEffect>) {
        self.count_usage(now_ms, exchange);
        let Some(state) = self.exchanges.get_mut(&exchange) else {
            return;
        };
        let is_late = state.started_ms.is_none() && now_ms > state.request.objective_ms;
        state.started_ms.get_or_insert(now_ms);
        state.writing_since_ms = Some(now_ms);
        state.expectation = None;
        let service = state.request.service.clone();
        if let Some(assigned_work) = &mut state.assigned_work
            && let Some(upstream) = self.upstreams.get_mut(&assigned_work.upstream)
        {
            upstream.remove_prompt_tokens(assigned_work);
            observe_duration(now_ms, state.sent_ms, state.expected.take(), upstream);
            let upstream = assigned_work.upstream.clone();
            self.on_prompt_held(now_ms, exchange, &upstream);
        }
        if is_late {
            let work = DemandedWork {
                late_requests: 1,
                ..DemandedWork::default()
            };
            self.count_demand(now_ms, &service, work);
        }
        self.dispatch_queue(now_ms, &service, effects);
    }

    fn on_call_failed(
        &mut self,
        now_ms: u64,
        exchange: u64,
        outcome: Outcome,
        effects: &mut Vec<EntryEffect>,
    ) {
        let task = self
            .exchanges
            .get(&exchange)
            .and_then(|state| state.task.as_ref());
        if outcome == Outcome::FailedAnswer && task != Some(&Task::Prefill) {
            self.count_usage(now_ms, exchange);
        }
        let Some(state) = self.exchanges.get_mut(&exchange) else {
            return;
        };
        let service = state.request.service.clone();
        let task = state.task.take();
        let assigned_work = state.assigned_work.take();
        let mut is_circuit_open = false;
        let mut upstream_id = Name::default();
        if let Some(assigned_work) = assigned_work {
            upstream_id = assigned_work.upstream.clone();
            state.failed_upstreams.push(assigned_work.upstream.clone());
            if let Some(target) = self.upstreams.get_mut(&assigned_work.upstream) {
                target.remove_request(assigned_work);
                if let Some(prompt) = &state.request.prompt {
                    target.cached_parts.on_failed(state.sent_ms, prompt);
                }
                let is_engine = target.record.role.is_some();
                is_circuit_open = match outcome {
                    // A rejection by a full upstream is no failure, but an engine with free slots rejects requests
                    // while it changes its role.
                    Outcome::Rejected if is_engine && !target.is_half_full() => {
                        target.on_failure(now_ms, true)
                    }
                    Outcome::Rejected => false,
                    Outcome::Unreachable | Outcome::Misdirected => target.on_failure(now_ms, true),
                    _ => target.on_failure(now_ms, false),
                };
            }
        }
        let may_have_run = !outcome.is_not_run() && task != Some(Task::Prefill);
        state.runs += u32::from(may_have_run);
        state.has_failed_answer |= outcome == Outcome::FailedAnswer;
        let text = format!(
            "request={} upstream={upstream_id} task={} outcome={} elapsed_ms={} runs={} \
             circuit_open={is_circuit_open} call_ms={} writing_ms={} parts={}",
            state.request.id,
            task.as_ref().map_or("none", task_name),
            outcome.name(),
            now_ms - state.arrived_ms,
            state.runs,
            now_ms - state.sent_ms,
            state
                .writing_since_ms
                .map_or_else(|| "none".to_owned(), |at_ms| (now_ms - at_ms).to_string()),
            part_list(&state.request),
        );
        log(effects, Importance::StateChange, text);
        if outcome == Outcome::Unreachable {
            match &task {
                Some(Task::Prefill) => state.prefill_calls -= 1,
                Some(Task::Run | Task::Generate { .. }) => state.run_calls -= 1,
                None => {}
            }
        }
        if outcome == Outcome::Broken && task != Some(Task::Prefill) {
            self.suspect_request(now_ms, exchange, &upstream_id, effects);
        }
        let retained = task.and_then(|task| self.retained_cache(task, outcome));
        let action = self.failure_action(now_ms, exchange, outcome, retained.is_some());
        match (&action, retained) {
            (FailureAction::Retry, Some(retained)) => {
                self.hand_off(now_ms, exchange, &retained.source, retained.handle, effects);
                return self.dispatch_queue(now_ms, &service, effects);
            }
            (
                _,
                Some(RetainedCache {
                    address, handle, ..
                }),
            ) => effects.push(EntryEffect::FreeHandle { address, handle }),
            (_, None) => {}
        }
        match action {
            FailureAction::Retry => self.place(now_ms, exchange, effects),
            FailureAction::ForwardFailure => direct(effects, exchange, Directive::ForwardFailure),
            FailureAction::Refuse(reason) => self.refuse(now_ms, exchange, reason, 0, effects),
        }
        self.dispatch_queue(now_ms, &service, effects);
    }

    /// Returns the KV cache that a prefill engine still keeps after the call that should have used it failed.
    fn retained_cache(&self, task: Task, outcome: Outcome) -> Option<RetainedCache> {
        let (Outcome::Unreachable | Outcome::Misdirected, Task::Generate { address, handle }) =
            (outcome, task)
        else {
            return None;
        };
        let mut upstreams = self.upstreams.values();
        let source = upstreams.find(|upstream| upstream.record.address == address)?;
        Some(RetainedCache {
            source: source.record.id.clone(),
            address,
            handle,
        })
    }

    fn failure_action(
        &mut self,
        now_ms: u64,
        exchange: u64,
        outcome: Outcome,
        has_handle: bool,
    ) -> FailureAction {
        let state = &self.exchanges[&exchange];
        let request = &state.request;
        let final_action = match outcome {
            _ if state.has_failed_answer => FailureAction::ForwardFailure,
            Outcome::TimedOut if state.runs > 0 => FailureAction::Refuse(RefusalReason::TimedOut),
            _ if state.runs > 0 => FailureAction::Refuse(RefusalReason::Failed),
            _ => FailureAction::Refuse(RefusalReason::NotRun),
        };
        let may_retry =
            state.runs == 0 || (request.kind.is_retryable() && state.runs < request.max_runs);
        let has_time = now_ms + CALLER_MARGIN_MS < request.deadline_ms;
        let is_blocked = request.prompt.as_ref().is_some_and(|prompt| {
            let verdicts = self.suspects.verdicts();
            verdicts.blocked_part(prompt.shared_keys()).is_some()
        });
        if !may_retry || !has_time || is_blocked || state.calls >= MAX_CALLS {
            return final_action;
        }
        // A call that reached no upstream has done no work, so that another one does not count as a retry.
        if outcome == Outcome::Unreachable {
            return FailureAction::Retry;
        }
        // The first prefill call and the first call that runs the request are not retries. A request that has used
        // both needs two more calls with a separate prefill engine, or one call without.
        let has_used_both_calls = state.prefill_calls > 0 && state.run_calls > 0 && !has_handle;
        let budget = self
            .retry_budgets
            .entry(request.service.clone())
            .or_default();
        let mut take_retries = |count| {
            budget.take_retries(count, &self.settings.retry_budget, now_ms, self.entry_count)
        };
        if has_used_both_calls && take_retries(2) {
            return FailureAction::Retry;
        }
        if !take_retries(1) {
            return final_action;
        }
        if has_used_both_calls && let Some(state) = self.exchanges.get_mut(&exchange) {
            state.excludes_prefill_engines = true;
        }
        FailureAction::Retry
    }

    fn on_closed(
        &mut self,
        now_ms: u64,
        exchange: u64,
        is_complete: bool,
        effects: &mut Vec<EntryEffect>,
    ) {
        if is_complete {
            self.count_usage(now_ms, exchange);
        }
        let Some(state) = self.exchanges.remove(&exchange) else {
            return;
        };
        if let Some(queue) = self.queues.get_mut(&state.request.service) {
            queue.retain(|other| *other != exchange);
        }
        if let Some(assigned_work) = state.assigned_work
            && let Some(upstream) = self.upstreams.get_mut(&assigned_work.upstream)
        {
            upstream.remove_request(assigned_work);
            if is_complete {
                upstream.on_success(now_ms);
                observe_duration(now_ms, state.sent_ms, state.expected, upstream);
            }
        }
        if is_complete && let Some(prompt) = &state.request.prompt {
            let began_ms = state.writing_since_ms.unwrap_or(state.sent_ms);
            self.suspects
                .on_generating(now_ms, prompt.shared_keys(), began_ms, true);
        }
        let started_ms = state.started_ms.unwrap_or(now_ms);
        if is_complete && matches!(state.request.kind, RequestKind::Stream { .. }) {
            let stream_ms = (now_ms - started_ms) as f64;
            self.stream_ms += (stream_ms - self.stream_ms) * STREAM_TIME_WEIGHT;
            // Callers state only the largest number of tokens, which is many times the usual one.
            let work = DemandedWork {
                output_tokens: (stream_ms / GENERATION_MS).ceil() as u32,
                ..DemandedWork::default()
            };
            self.count_demand(now_ms, &state.request.service, work);
        }
        let in_objective = started_ms <= state.request.objective_ms;
        let (importance, outcome) = match is_complete {
            true => (Importance::Step, "answered"),
            false => (Importance::Failure, "caller_left"),
        };
        let text = format!(
            "request={} route={} outcome={outcome} elapsed_ms={} first_ms={} in_objective={in_objective} sends={} \
             rank={}",
            state.request.id,
            state.request.route,
            now_ms - state.arrived_ms,
            started_ms - state.arrived_ms,
            state.calls,
            state.request.rank,
        );
        log(effects, importance, text);
        self.dispatch_queue(now_ms, &state.request.service, effects);
    }

    fn refuse(
        &mut self,
        now_ms: u64,
        exchange: u64,
        reason: RefusalReason,
        wait_ms: u64,
        effects: &mut Vec<EntryEffect>,
    ) {
        let Some(state) = self.exchanges.remove(&exchange) else {
            return;
        };
        let request = &state.request;
        let left_ms = request.deadline_ms.saturating_sub(now_ms);
        let retry_after_ms = wait_ms
            .min(left_ms / RETRY_AFTER_DIVISOR)
            .max(RETRY_AFTER_MIN_MS);
        let version = self.config.as_ref().map_or(0, |config| config.version());
        let text = format!(
            "request={} route={} service={} outcome=refused reason={} not_run={} wait_ms={wait_ms} \
             retry_after_ms={retry_after_ms} left_ms={left_ms} elapsed_ms={} sends={} runs={} config={version} \
             config_age_ms={}",
            request.id,
            request.route,
            request.service,
            reason.name(),
            reason.is_not_run(),
            now_ms - state.arrived_ms,
            state.calls,
            state.runs,
            self.subscription.age_ms(now_ms),
        );
        log(effects, Importance::Failure, text);
        if matches!(reason, RefusalReason::NoUpstream | RefusalReason::TooLate) {
            let prompt = request.prompt.as_ref().filter(|_| state.calls == 0);
            let shared = prompt.and_then(Prompt::shared_prefix);
            let work = DemandedWork {
                late_requests: 1,
                prompt_tokens: prompt.map_or(0, |prompt| {
                    prompt.tokens - shared.map_or(0, |(_, tokens)| tokens)
                }),
                ..DemandedWork::default()
            };
            self.count_demand(now_ms, &request.service, work);
        }
        let refusal = Refusal {
            reason,
            retry_after_ms,
        };
        direct(effects, exchange, Directive::Refuse(refusal));
    }

    fn placement_context<'a>(
        &'a self,
        now_ms: u64,
        state: &'a ExchangeState,
    ) -> PlacementContext<'a> {
        PlacementContext {
            now_ms,
            zone: &self.settings.info.availability_zone,
            failed_upstreams: &state.failed_upstreams,
            request_hash: state.request_hash,
            gap_ms: state.request.gap_ms,
            entries: self.entry_count,
            queued_ahead: 0,
            prefix_costs: None,
        }
    }

    /// Returns what cached prefixes are weighed by, if the settings ask for it and the document states what it needs.
    fn prefix_costs<'a>(&'a self, service: &'a Name) -> Option<PrefixCosts<'a>> {
        if self.settings.prefix_placement != PrefixPlacement::Weighed {
            return None;
        }
        let engine = self.config.as_ref()?.service(service)?.engine.as_ref()?;
        if engine.kv_tokens == 0 || engine.transfer_tokens_per_ms == 0 {
            return None;
        }
        let zones = self.services.get(service)?.zones.len().max(1);
        Some(PrefixCosts {
            prefixes: &self.prefixes,
            service,
            kv_tokens: engine.kv_tokens,
            transfer_tokens_per_ms: f64::from(engine.transfer_tokens_per_ms),
            zone_entries: (f64::from(self.entry_count) / zones as f64).max(1.0),
            queued: self.queues.get(service).map_or(0, Vec::len),
        })
    }

    fn service_upstreams(&self, service: &Name) -> impl Iterator<Item = &Upstream> {
        let service = self.services.get(service);
        let ids = |ids: fn(&ServiceUpstreams) -> &[Name]| service.map_or(&[][..], ids);
        let own_zone = self.known_upstreams(ids(|service| &service.own_zone));
        own_zone.chain(self.known_upstreams(ids(|service| &service.other_zones)))
    }

    fn known_upstreams<'a>(
        &'a self,
        ids: &'a [Name],
    ) -> impl Iterator<Item = &'a Upstream> + Clone {
        ids.iter().filter_map(|id| self.upstreams.get(id))
    }
}

/// Instance ids of the upstreams of a service, by whether they are in the entry's availability zone.
#[derive(Clone, Debug, Default)]
struct ServiceUpstreams {
    own_zone: Vec<Name>,
    other_zones: Vec<Name>,
    /// Availability zones of the upstreams.
    zones: Set<Name>,
}

/// The properties of a call to an upstream that has been chosen.
struct CallPlan {
    task: Task,
    /// Prompt tokens that the upstream has to compute.
    tokens: u32,
    /// Expected time to the first token, in milliseconds; none for plain requests.
    expected_ms: Option<f64>,
    /// Address of the engine from which the upstream first fetches the shared prefix.
    fetch_from: Option<Name>,
    /// Time since the shared prefix was last used at the engine that is expected to have it cached, in milliseconds.
    shared_age_ms: Option<u64>,
    /// What the duration of the call shows about the engine's cache.
    expectation: Option<Expectation>,
}

/// KV cache of a computed prompt that no other engine has fetched yet.
struct RetainedCache {
    /// Instance id of the engine that keeps the KV cache.
    source: Name,
    /// Address of that engine.
    address: Name,
    handle: Name,
}

enum FailureAction {
    Retry,
    ForwardFailure,
    Refuse(RefusalReason),
}

/// Returns the backlog up to which an engine gets more requests of a rank, in milliseconds.
fn max_backlog_ms(rank: u8) -> f64 {
    match rank {
        0 => URGENT_MAX_BACKLOG_MS,
        _ => MAX_BACKLOG_MS,
    }
}

/// Returns when a call times out if the head of the answer has not arrived; none if only the request's deadline ends
/// the wait.
fn head_deadline_ms(
    now_ms: u64,
    state: &ExchangeState,
    task: &Task,
    expected_ms: Option<f64>,
) -> Option<u64> {
    if *task == Task::Prefill {
        let timeout_ms = expected_ms.unwrap_or(0.0) * PREFILL_TIMEOUT_FACTOR;
        let prefill_deadline_ms = now_ms + (timeout_ms + PREFILL_TIMEOUT_SLACK_MS) as u64;
        return Some(prefill_deadline_ms.min(state.request.begin_deadline_ms));
    }
    let request = &state.request;
    let can_retry = request.kind.is_retryable() && state.runs + 1 < request.max_runs;
    if !can_retry {
        return None;
    }
    let objective_ms = request.objective_ms.saturating_sub(state.arrived_ms);
    Some(now_ms + objective_ms * HEAD_TIMEOUT_OBJECTIVES)
}

/// Returns the keys of the prompt's shared parts in order, or `none`.
fn part_list(request: &Request) -> String {
    let shared_parts = request
        .prompt
        .as_ref()
        .map_or(&[][..], Prompt::shared_parts);
    if shared_parts.is_empty() {
        return "none".to_owned();
    }
    let keys: Vec<String> = shared_parts
        .iter()
        .map(|(key, _)| format!("{key:016x}"))
        .collect();
    keys.join(",")
}

/// Records how long an upstream took for a call.
fn observe_duration(
    now_ms: u64,
    sent_ms: u64,
    expected: Option<Expected>,
    upstream: &mut Upstream,
) {
    if let Some(expected) = expected {
        let duration_ms = now_ms.saturating_sub(sent_ms) as f64;
        let Expected { work, usual_ms } = expected;
        upstream
            .speed
            .on_measured(now_ms, work, duration_ms, usual_ms);
    }
}

fn task_name(task: &Task) -> &'static str {
    match task {
        Task::Run => "run",
        Task::Prefill => "prefill",
        Task::Generate { .. } => "generate",
    }
}

fn send_watch(to: InstanceInfo, watch: Watch, effects: &mut Vec<EntryEffect>) {
    effects.push(EntryEffect::Send {
        to: to.id,
        address: to.peer_address,
        message: Box::new(PeerMessage::Watch(watch)),
    });
}

fn direct(effects: &mut Vec<EntryEffect>, exchange: u64, directive: Directive) {
    effects.push(EntryEffect::Directive {
        exchange,
        directive,
    });
}

fn log(effects: &mut Vec<EntryEffect>, importance: Importance, text: String) {
    effects.push(EntryEffect::Log { importance, text });
}
