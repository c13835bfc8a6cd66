//! Timers of the reads of load reports, cache events and the platform's list.

use conf::{Map, Name, ServiceConfig, ServiceKind};

/// Interval at which cache events are read, in milliseconds.
const CACHE_EVENTS_INTERVAL_MS: u64 = 500;

/// Time after which an unanswered read is repeated, in milliseconds.
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
pub(crate) struct ReadTimers {
    load_interval_ms: u64,
    platform_interval_ms: u64,
    next_platform_ms: Option<u64>,
    /// Upstreams, in the order of the configuration; a vector because every tick iterates over all of them.
    targets: Vec<ReadTarget>,
    /// Positions in `targets`, by upstream name.
    positions: Map<Name, usize>,
}

#[derive(Clone, Debug)]
struct ReadTarget {
    name: Name,
    address: Name,
    is_engine: bool,
    next_load_ms: u64,
    next_cache_events_ms: u64,
}

impl ReadTimers {
    pub fn new(settings: &conf::Settings) -> Self {
        Self {
            load_interval_ms: settings.timing.load_interval_ms,
            platform_interval_ms: settings.timing.platform_interval_ms,
            next_platform_ms: (!settings.platform.list_url.is_empty()).then_some(0),
            targets: Vec::new(),
            positions: Map::default(),
        }
    }

    /// Replaces the upstreams. An upstream whose address is unchanged keeps its timers.
    pub fn apply_config(&mut self, now_ms: u64, config: &ServiceConfig) {
        let mut previous: Map<Name, ReadTarget> = std::mem::take(&mut self.targets)
            .into_iter()
            .map(|target| (target.name.clone(), target))
            .collect();
        self.positions.clear();
        for (position, upstream) in config.upstreams.iter().enumerate() {
            let is_engine = config
                .services
                .iter()
                .any(|s| s.name == upstream.service && s.kind == ServiceKind::Model);
            // The first reads are spread over the interval to avoid a burst.
            let offset_ms = self.load_interval_ms * position as u64 / config.upstreams.len() as u64;
            let new_target = ReadTarget {
                name: upstream.name.clone(),
                address: upstream.address.clone(),
                is_engine,
                next_load_ms: now_ms + offset_ms,
                next_cache_events_ms: now_ms + offset_ms,
            };
            let target = match previous.remove(&upstream.name) {
                Some(target) if target.address == upstream.address => target,
                _ => new_target,
            };
            self.positions.insert(upstream.name.clone(), position);
            self.targets.push(target);
        }
    }

    pub fn address_of(&self, upstream: &Name) -> Option<&Name> {
        let position = *self.positions.get(upstream)?;
        Some(&self.targets[position].address)
    }

    /// Returns the reads that are due and sets the times at which they are due again.
    pub fn due(&mut self, now_ms: u64) -> Vec<Read> {
        let mut due = Vec::new();
        if self
            .next_platform_ms
            .is_some_and(|next_ms| now_ms >= next_ms)
        {
            self.next_platform_ms = Some(now_ms + self.platform_interval_ms);
            due.push(Read::PlatformList);
        }
        for target in &mut self.targets {
            if now_ms >= target.next_load_ms {
                target.next_load_ms = now_ms + READ_TIMEOUT_MS;
                due.push(Read::Load {
                    upstream: target.name.clone(),
                    address: target.address.clone(),
                });
            }
            if target.is_engine && now_ms >= target.next_cache_events_ms {
                target.next_cache_events_ms = now_ms + READ_TIMEOUT_MS;
                due.push(Read::CacheEvents {
                    upstream: target.name.clone(),
                    address: target.address.clone(),
                });
            }
        }
        due
    }

    /// Sets the time of the next load read after a read has ended.
    pub fn on_load(&mut self, now_ms: u64, upstream: &Name) {
        let next_load_ms = now_ms + self.load_interval_ms;
        if let Some(target) = self.target_mut(upstream) {
            target.next_load_ms = next_load_ms;
        }
    }

    /// Sets the time of the next cache event read after a read has ended.
    pub fn on_cache_events(&mut self, now_ms: u64, upstream: &Name) {
        if let Some(target) = self.target_mut(upstream) {
            target.next_cache_events_ms = now_ms + CACHE_EVENTS_INTERVAL_MS;
        }
    }

    fn target_mut(&mut self, upstream: &Name) -> Option<&mut ReadTarget> {
        let position = *self.positions.get(upstream)?;
        self.targets.get_mut(position)
    }
}
