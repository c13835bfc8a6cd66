//! Counts the reducer's events and effects by kind.

use conf::Map;
use metrics::Counter;
use reducer::{Effect, Event};

/// Counters by kind. They are cached, because a look-up in the metrics recorder takes longer than handling an event.
#[derive(Default)]
pub struct Counters {
    events: Map<&'static str, Counter>,
    effects: Map<&'static str, Counter>,
}

impl Counters {
    /// Counts an event.
    pub fn count_event(&mut self, event: &Event) {
        let kind = event_kind(event);
        self.events
            .entry(kind)
            .or_insert_with(|| metrics::counter!("mustardstack_events_total", "kind" => kind))
            .increment(1);
    }

    /// Counts an effect.
    pub fn count_effect(&mut self, effect: &Effect) {
        let kind = effect_kind(effect);
        self.effects
            .entry(kind)
            .or_insert_with(|| metrics::counter!("mustardstack_effects_total", "kind" => kind))
            .increment(1);
    }
}

fn event_kind(event: &Event) -> &'static str {
    match event {
        Event::Tick { .. } => "tick",
        Event::Arrived(_) => "arrived",
        Event::Started { .. } => "started",
        Event::Progress { .. } => "progress",
        Event::Ended { .. } => "ended",
        Event::CallerGone { .. } => "caller_gone",
        Event::Load { .. } => "load",
        Event::CacheEvents { .. } => "cache_events",
        Event::UpstreamChecked { .. } => "upstream_checked",
        Event::PlatformList(_) => "platform_list",
        Event::Peer { .. } => "peer",
        Event::Persisted { .. } => "persisted",
        Event::OrderAnswered { .. } => "order_answered",
        Event::EngineRead { .. } => "engine_read",
        Event::Admin { .. } => "admin",
        Event::Stop => "stop",
    }
}

fn effect_kind(effect: &Effect) -> &'static str {
    match effect {
        Effect::Dispatch { .. } => "dispatch",
        Effect::Cancel { .. } => "cancel",
        Effect::Refuse { .. } => "refuse",
        Effect::Deliver { .. } => "deliver",
        Effect::Replay { .. } => "replay",
        Effect::Send { .. } => "send",
        Effect::Persist { .. } => "persist",
        Effect::SendOrder { .. } => "send_order",
        Effect::ReadEngine { .. } => "read_engine",
        Effect::ReadLoad { .. } => "read_load",
        Effect::ReadCacheEvents { .. } => "read_cache_events",
        Effect::CheckUpstream { .. } => "check_upstream",
        Effect::ReadPlatformList => "read_platform_list",
        Effect::AdminReply { .. } => "admin_reply",
        Effect::InForce { .. } => "in_force",
        Effect::Readiness { .. } => "readiness",
        Effect::Exit => "exit",
        Effect::Log { .. } => "log",
        Effect::Record(_) => "record",
    }
}
