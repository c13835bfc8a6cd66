//! Timers for reading load reports, cache events and the platform's list.

use conf::{Map, Name, ServiceConfig, ServiceKind};

/// Interval at which cache events are read, in milliseconds.
const CACHE_EVENTS_INTERVAL_MS: u64 = 500;

/// Time after which an unanswered read is started again, in milliseconds.
const READ_TIMEOUT_MS: u64 = 3_000;

/// A read that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Read {
    Load { upstream: Name, address: Name },
    CacheEvents { upstream: Name, address: Name },
    PlatformList,
}

/// Times of the next reads.
#[derive(Clone, Debug)]
pub(crate) struct Watch {
    load_interval_ms: u64,
    platform_interval_ms: u64,
    next_platform_ms: Option<u64>,
    upstreams: Map<Name, Target>,
    order: Vec<Name>,
}

#[derive(Clone, Debug)]
struct Target {
    address: Name,
    is_engine: bool,
    next_load_ms: u64,
    next_events_ms: u64,
}

impl Watch {
    pub fn new(settings: &conf::Settings) -> Self {
        Self {
            load_interval_ms: settings.timing.load_interval_ms,
            platform_interval_ms: settings.timing.platform_interval_ms,
            next_platform_ms: (!settings.platform.list_url.is_empty()).then_some(0),
            upstreams: Map::default(),
            order: Vec::new(),
        }
    }

    pub fn apply_config(&mut self, now_ms: u64, config: &ServiceConfig) {
        let mut upstreams = Map::default();
        for (position, upstream) in config.upstreams.iter().enumerate() {
            let is_engine = config
                .services
                .iter()
                .any(|s| s.name == upstream.service && s.kind == ServiceKind::Model);
            // First reads are spread over the interval, so that they do not come in one burst.
            let share_ms = self.load_interval_ms * position as u64 / config.upstreams.len() as u64;
            let fresh = Target {
                address: upstream.address.clone(),
                is_engine,
                next_load_ms: now_ms + share_ms,
                next_events_ms: now_ms + share_ms,
            };
            let target = match self.upstreams.remove(&upstream.name) {
                Some(target) if target.address == upstream.address => target,
                _ => fresh,
            };
            upstreams.insert(upstream.name.clone(), target);
        }
        self.order = config.upstreams.iter().map(|u| u.name.clone()).collect();
        self.upstreams = upstreams;
    }

    pub fn address_of(&self, upstream: &Name) -> Option<&Name> {
        self.upstreams.get(upstream).map(|target| &target.address)
    }

    pub fn due(&mut self, now_ms: u64) -> Vec<Read> {
        let mut due = Vec::new();
        if self
            .next_platform_ms
            .is_some_and(|next_ms| now_ms >= next_ms)
        {
            self.next_platform_ms = Some(now_ms + self.platform_interval_ms);
            due.push(Read::PlatformList);
        }
        for name in &self.order {
            let Some(target) = self.upstreams.get_mut(name) else {
                continue;
            };
            if now_ms >= target.next_load_ms {
                target.next_load_ms = now_ms + READ_TIMEOUT_MS;
                due.push(Read::Load {
                    upstream: name.clone(),
                    address: target.address.clone(),
                });
            }
            if target.is_engine && now_ms >= target.next_events_ms {
                target.next_events_ms = now_ms + READ_TIMEOUT_MS;
                due.push(Read::CacheEvents {
                    upstream: name.clone(),
                    address: target.address.clone(),
                });
            }
        }
        due
    }

    pub fn on_load(&mut self, now_ms: u64, upstream: &Name) {
        if let Some(target) = self.upstreams.get_mut(upstream) {
            target.next_load_ms = now_ms + self.load_interval_ms;
        }
    }

    pub fn on_cache_events(&mut self, now_ms: u64, upstream: &Name) {
        if let Some(target) = self.upstreams.get_mut(upstream) {
            target.next_events_ms = now_ms + CACHE_EVENTS_INTERVAL_MS;
        }
    }
}
