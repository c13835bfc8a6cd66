//! Seeded arrivals of a workload, as a pure function of its settings.

use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{load::LoadSettings, server::next_random};

/// Start and end of a flood, as shares of the duration. The time before shows the undisturbed
/// service and the time after the recovery.
const FLOOD: (f64, f64) = (0.25, 0.75);

/// Shape of the offered load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Workload {
    /// A constant rate with a constant mix.
    #[default]
    Steady,
    /// A constant rate whose mix alternates between prompt-heavy and output-heavy.
    Swing,
    /// The least urgent rank floods.
    FloodLate,
    /// The most urgent rank floods.
    FloodUrgent,
    /// The last tenant floods in its own rank mix.
    FloodTenant,
}

impl Workload {
    /// Every workload and its name.
    pub const ALL: [(Self, &'static str); 5] = [
        (Self::Steady, "steady"),
        (Self::Swing, "swing"),
        (Self::FloodLate, "flood_late"),
        (Self::FloodUrgent, "flood_urgent"),
        (Self::FloodTenant, "flood_tenant"),
    ];

    /// Name of the workload.
    pub fn name(self) -> &'static str {
        Self::ALL
            .iter()
            .find(|(workload, _)| *workload == self)
            .map_or("", |(_, name)| name)
    }

    /// Whether part of the load floods.
    pub fn is_flood(self) -> bool {
        match self {
            Self::Steady | Self::Swing => false,
            Self::FloodLate | Self::FloodUrgent | Self::FloodTenant => true,
        }
    }
}

/// A name that is no workload's.
#[derive(Debug, thiserror::Error)]
#[error("unknown workload {0:?}, expected steady, swing, flood_late, flood_urgent or flood_tenant")]
pub struct UnknownWorkload(String);

impl FromStr for Workload {
    type Err = UnknownWorkload;

    fn from_str(text: &str) -> Result<Self, UnknownWorkload> {
        Self::ALL
            .iter()
            .find(|(_, name)| *name == text)
            .map(|(workload, _)| *workload)
            .ok_or_else(|| UnknownWorkload(text.to_owned()))
    }
}

/// Lengths of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer on average.
    pub output_tokens: u32,
}

/// One request of the workload.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Simulated time of the arrival.
    pub at_ms: f64,
    /// Index of the rank.
    pub rank: usize,
    /// Index of the tenant.
    pub tenant: usize,
    /// Index of the entry address.
    pub entry: usize,
    /// Index of the document that the prompt begins with.
    pub document: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub output_tokens: u32,
}

/// Start and end of the time over which shares of tokens are measured, in simulated time.
pub fn window_ms(settings: &LoadSettings) -> (f64, f64) {
    let (start, end) = match settings.workload.is_flood() {
        true => FLOOD,
        false => (0.0, 1.0),
    };
    (start * settings.duration_ms, end * settings.duration_ms)
}

/// All requests of a workload by time.
pub fn arrivals(settings: &LoadSettings) -> Vec<Arrival> {
    let base_rate = settings.capacity_requests_per_s * settings.load;
    let mut source = Source::new(settings, settings.seed);
    let mut arrivals = source.poisson(base_rate, (0.0, settings.duration_ms), Pick::default());
    if settings.workload.is_flood() {
        let rate = settings.capacity_requests_per_s * settings.flood_factor;
        // The flood has a seed of its own, so that the other requests are the same without it.
        let mut flood = Source::new(settings, !settings.seed);
        let pick = Pick::flood(settings);
        arrivals.extend(flood.poisson(rate, window_ms(settings), pick));
    }
    arrivals.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    arrivals
}

/// Fixed choices of a stream of requests. The others are drawn.
#[derive(Clone, Copy, Debug, Default)]
struct Pick {
    rank: Option<usize>,
    tenant: Option<usize>,
}

impl Pick {
    fn flood(settings: &LoadSettings) -> Self {
        let last = |count: usize| Some(count.saturating_sub(1));
        match settings.workload {
            Workload::FloodLate => Self {
                rank: last(settings.ranks.len()),
                tenant: None,
            },
            Workload::FloodUrgent => Self {
                rank: Some(0),
                tenant: None,
            },
            Workload::FloodTenant => Self {
                rank: None,
                tenant: last(settings.tenants.len()),
            },
            Workload::Steady | Workload::Swing => Self::default(),
        }
    }
}

struct Source<'a> {
    settings: &'a LoadSettings,
    random: u64,
}

impl<'a> Source<'a> {
    fn new(settings: &'a LoadSettings, random: u64) -> Self {
        Self { settings, random }
    }

    fn poisson(&mut self, per_s: f64, (start_ms, end_ms): (f64, f64), pick: Pick) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        if per_s <= 0.0 {
            return arrivals;
        }
        let mut at_ms = start_ms + self.gap_ms(per_s);
        while at_ms < end_ms {
            arrivals.push(self.arrival(at_ms, pick));
            at_ms += self.gap_ms(per_s);
        }
        arrivals
    }

    fn gap_ms(&mut self, per_s: f64) -> f64 {
        -(1.0 - next_random(&mut self.random)).ln() / per_s * 1_000.0
    }

    fn arrival(&mut self, at_ms: f64, pick: Pick) -> Arrival {
        let settings = self.settings;
        let rank = self.weighted(settings.ranks.iter().map(|rank| rank.share));
        let tenant = self.weighted(settings.tenants.iter().map(|tenant| tenant.share));
        let mix = self.mix(at_ms);
        Arrival {
            at_ms,
            rank: pick.rank.unwrap_or(rank),
            tenant: pick.tenant.unwrap_or(tenant),
            entry: self.below(settings.entries.len()),
            document: self.below(settings.documents as usize) as u32,
            prompt_tokens: mix.prompt_tokens,
            output_tokens: self.output_tokens(mix),
        }
    }

    fn mix(&self, at_ms: f64) -> Mix {
        let settings = self.settings;
        if settings.workload != Workload::Swing {
            return settings.mix;
        }
        let half_periods = (at_ms / settings.swing_period_ms * 2.0) as u64;
        match half_periods % 2 {
            0 => settings.prompt_heavy,
            _ => settings.output_heavy,
        }
    }

    /// From a quarter of the average to seven quarters, evenly.
    fn output_tokens(&mut self, mix: Mix) -> u32 {
        let factor = 0.25 + 1.5 * next_random(&mut self.random);
        ((f64::from(mix.output_tokens) * factor) as u32).max(1)
    }

    fn below(&mut self, count: usize) -> usize {
        (next_random(&mut self.random) * count as f64) as usize
    }

    fn weighted(&mut self, shares: impl Iterator<Item = f64> + Clone) -> usize {
        let total: f64 = shares.clone().sum();
        let mut left = next_random(&mut self.random) * total;
        let mut last = 0;
        for (index, share) in shares.enumerate() {
            last = index;
            left -= share;
            if left < 0.0 {
                break;
            }
        }
        last
    }
}
