//! A test harness around one entry with a configuration, a list of upstreams and a virtual clock.

// Each test file uses only some of the functions.
#![allow(dead_code)]

use std::sync::Arc;

use conf::{Name, Role};
use fleet::{
    InstanceInfo, ListingUpdate, PeerMessage, PrefixUse, UpstreamList, UpstreamLoad,
    UpstreamRecord, WatchReply,
};
use gateway::config::{Config, EngineTraits, Limits, RequestKind, Route, Service};
use gateway::entry::{Entry, EntryEffect, EntryEvent, EntrySettings};
use gateway::listing::upstream_key;
use gateway::usage::UsageSettings;
use gateway::{Directive, Outcome, Prompt, Refusal, Request, UpstreamCall};

pub const REPLICA: &str = "10.0.0.9";
pub const ZONE: &str = "a";
pub const OTHER_ZONE: &str = "b";

/// An entry under test.
pub struct Driver {
    pub entry: Entry,
    pub now_ms: u64,
    next_exchange: u64,
    next_listing: u64,
    /// Number of the entry's last message to the replica.
    last_watch: u64,
}

impl Driver {
    /// Creates an entry with configuration version 1 and the upstreams.
    pub fn new(upstreams: Vec<UpstreamRecord>) -> Self {
        Self::with_settings(upstreams, EntrySettings::default())
    }

    /// Creates an entry that counts usage.
    pub fn with_usage(upstreams: Vec<UpstreamRecord>, usage: UsageSettings) -> Self {
        let settings = EntrySettings {
            usage: Some(usage),
            ..EntrySettings::default()
        };
        Self::with_settings(upstreams, settings)
    }

    fn with_settings(upstreams: Vec<UpstreamRecord>, settings: EntrySettings) -> Self {
        let replica = InstanceInfo {
            id: REPLICA.into(),
            availability_zone: ZONE.into(),
            peer_address: "10.0.0.9:7000".into(),
            ..InstanceInfo::default()
        };
        let info = InstanceInfo {
            id: "10.0.0.1".into(),
            availability_zone: ZONE.into(),
            ..InstanceInfo::default()
        };
        let entry = Entry::new(EntrySettings {
            info,
            contacts: vec![replica],
            ..settings
        });
        let mut driver = Self {
            entry,
            now_ms: 1_000,
            next_exchange: 0,
            next_listing: 0,
            last_watch: 0,
        };
        driver.step(EntryEvent::Tick);
        driver.configure(1);
        driver.list(upstreams);
        driver
    }

    pub fn step(&mut self, event: EntryEvent) -> Vec<EntryEffect> {
        let mut effects = Vec::new();
        self.entry.step(self.now_ms, event, &mut effects);
        for effect in &effects {
            if let EntryEffect::Send { message, .. } = effect
                && let PeerMessage::Watch(watch) = &**message
            {
                self.last_watch = watch.sequence;
            }
        }
        effects
    }

    fn reply(&mut self, reply: WatchReply, config: Option<Config>) -> Vec<EntryEffect> {
        self.reply_from(REPLICA, reply, config)
    }

    fn reply_from(
        &mut self,
        replica: &'static str,
        reply: WatchReply,
        config: Option<Config>,
    ) -> Vec<EntryEffect> {
        self.step(EntryEvent::WatchReply {
            from: replica.into(),
            reply: Box::new(WatchReply {
                sequence: self.last_watch,
                is_current: true,
                entries: 2,
                ..reply
            }),
            config: config.map(Arc::new),
        })
    }

    /// Gives the entry a replica's reply to its last message.
    pub fn receive_from(&mut self, replica: &'static str) {
        self.reply_from(replica, WatchReply::default(), None);
    }

    /// Gives the entry a configuration with a version.
    pub fn configure(&mut self, version: u64) {
        self.reply(WatchReply::default(), Some(config(version)));
    }

    /// Gives the entry a list of upstreams.
    pub fn list(&mut self, upstreams: Vec<UpstreamRecord>) {
        self.next_listing += 1;
        let reply = WatchReply {
            listing: self.next_listing,
            listing_update: Some(ListingUpdate::Complete(Arc::new(UpstreamList::new(
                upstreams,
            )))),
            ..WatchReply::default()
        };
        self.reply(reply, None);
    }

    /// Gives the entry the load of other entries and the shared prefixes that they have sent to engines.
    pub fn receive_others_load(
        &mut self,
        loads: Vec<UpstreamLoad>,
        prefix_uses: Vec<PrefixUse>,
    ) -> Vec<EntryEffect> {
        let reply = WatchReply {
            loads: Some(loads),
            prefix_uses,
            ..WatchReply::default()
        };
        self.reply(reply, None)
    }

    /// Passes a request to the entry and returns the id of its exchange and the first directive.
    pub fn arrive(&mut self, request: Request) -> (u64, Option<Directive>) {
        self.next_exchange += 1;
        let exchange = self.next_exchange;
        let effects = self.step(EntryEvent::Arrived { exchange, request });
        (exchange, directive(&effects, exchange))
    }

    /// Reports the outcome of a failed call and returns the next directive.
    pub fn fail_call(&mut self, exchange: u64, outcome: Outcome) -> Option<Directive> {
        let effects = self.step(EntryEvent::CallFailed { exchange, outcome });
        directive(&effects, exchange)
    }

    /// Returns the shared prefixes that the entry reports to its replica.
    pub fn reported_prefix_uses(&mut self) -> Vec<PrefixUse> {
        self.now_ms += 200;
        let effects = self.step(EntryEvent::Tick);
        let prefix_uses = effects.into_iter().find_map(|effect| match effect {
            EntryEffect::Send { message, .. } => match *message {
                PeerMessage::Watch(watch) => Some(watch.prefix_uses),
                _ => None,
            },
            _ => None,
        });
        prefix_uses.unwrap_or_default()
    }

    /// Returns a request that arrives now.
    pub fn request(&self, kind: RequestKind, rank: u8) -> Request {
        Request {
            id: Name::from(format!("request-{}", self.next_exchange)),
            route: "route".into(),
            service: "plain".into(),
            account: None,
            kind,
            rank,
            deadline_ms: self.now_ms + 5_000,
            begin_deadline_ms: self.now_ms + 2_000,
            objective_ms: self.now_ms + 400,
            gap_ms: 200,
            max_runs: 2,
            prompt: None,
        }
    }

    /// Returns a request to a model whose prompt has a shared part and a part of its own.
    pub fn prompt(&self, rank: u8, shared: (u64, u32), own_tokens: u32) -> Request {
        Request {
            service: "model".into(),
            prompt: Some(Prompt {
                parts: vec![shared, (self.next_exchange + 1_000_000, own_tokens)],
                tokens: shared.1 + own_tokens,
                max_output_tokens: 50,
            }),
            ..self.request(RequestKind::Stream { resumable: false }, rank)
        }
    }
}

/// Returns the first directive to an exchange.
pub fn directive(effects: &[EntryEffect], of: u64) -> Option<Directive> {
    effects.iter().find_map(|effect| match effect {
        EntryEffect::Directive {
            exchange,
            directive,
        } if *exchange == of => Some(directive.clone()),
        _ => None,
    })
}

/// Returns the call that a directive asks for.
pub fn expect_call(directive: Option<Directive>) -> UpstreamCall {
    match directive {
        Some(Directive::Call(call)) => call,
        other => panic!("expected a call, got {other:?}"),
    }
}

/// Returns the refusal that a directive contains.
pub fn expect_refusal(directive: Option<Directive>) -> Refusal {
    match directive {
        Some(Directive::Refuse(refusal)) => refusal,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// Returns the load that other entries have sent to an upstream.
pub fn others_load(id: &'static str, prompt_tokens: u32) -> UpstreamLoad {
    UpstreamLoad {
        upstream_key: upstream_key(&id.into()),
        running: 10,
        prompt_tokens,
    }
}

pub fn plain(id: &'static str, zone: &'static str) -> UpstreamRecord {
    UpstreamRecord {
        id: id.into(),
        service: "plain".into(),
        address: Name::from(format!("{id}:80")),
        availability_zone: zone.into(),
        slots: 6,
        ..UpstreamRecord::default()
    }
}

pub fn engine(id: &'static str, zone: &'static str, role: Role) -> UpstreamRecord {
    UpstreamRecord {
        service: "model".into(),
        slots: 64,
        role: Some(role),
        ..plain(id, zone)
    }
}

fn config(version: u64) -> Config {
    let service = |name: &'static str, engine| Service {
        name: name.into(),
        max_connections: 100,
        engine,
        scaling: None,
    };
    let route = Route {
        name: "route".into(),
        host: "host".into(),
        path_prefix: "/".into(),
        kind: RequestKind::Idempotent,
        timeout_ms: 5_000,
        objective_ms: 400,
        gap_ms: 200,
        rank: 0,
        targets: vec![("plain".into(), 1)],
        max_runs: 2,
        is_public: false,
    };
    let services = vec![
        service("plain", None),
        service("model", Some(EngineTraits::default())),
    ];
    Config::new(version, vec![route], services, Limits::default())
        .expect("the configuration is valid")
}
