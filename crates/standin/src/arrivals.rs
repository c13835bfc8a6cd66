//! Request arrivals of a workload, which depend only on its settings and their seed.

use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{load::LoadSettings, server::next_random};

/// Start and end of a flood, as fractions of the duration. The time before the flood shows the normal service, and the
/// time after it shows the recovery.
const FLOOD_WINDOW: (f64, f64) = (0.25, 0.75);

/// Shape of the offered load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Workload {
    /// A constant request rate with constant request lengths.
    #[default]
    Steady,
    /// A constant request rate whose requests alternate between long prompts and long outputs.
    Swing,
    /// A flood of requests of the least urgent rank on top of the steady load.
    FloodLate,
    /// A flood of requests of the most urgent rank on top of the steady load.
    FloodUrgent,
    /// A flood of requests of the last client account, of all ranks, on top of the steady load.
    #[serde(rename = "flood_tenant")]
    FloodClientAccount,
}

impl Workload {
    /// All workloads and their names.
    pub const ALL: [(Self, &'static str); 5] = [
        (Self::Steady, "steady"),
        (Self::Swing, "swing"),
        (Self::FloodLate, "flood_late"),
        (Self::FloodUrgent, "flood_urgent"),
        (Self::FloodClientAccount, "flood_tenant"),
    ];

    /// Returns the name of the workload.
    pub fn name(self) -> &'static str {
        Self::ALL
            .iter()
            .find(|(workload, _)| *workload == self)
            .map_or("", |(_, name)| name)
    }

    /// Returns whether the workload contains a flood.
    pub fn is_flood(self) -> bool {
        match self {
            Self::Steady | Self::Swing => false,
            Self::FloodLate | Self::FloodUrgent | Self::FloodClientAccount => true,
        }
    }
}

/// Error for a name that no workload has.
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

/// Lengths of the requests of a workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestLengths {
    /// Number of tokens of each prompt.
    pub prompt_tokens: u32,
    /// Mean number of tokens of an answer.
    pub output_tokens: u32,
}

/// One request of the workload.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Arrival time since the start of the run, in simulated milliseconds.
    pub at_ms: f64,
    /// Index into `LoadSettings::ranks`.
    pub rank: usize,
    /// Index into `LoadSettings::client_accounts`.
    pub client_account: usize,
    /// Index into `LoadSettings::entries`.
    pub entry: usize,
    /// Number of the document that the prompt begins with, from 0.
    pub document: u32,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Number of tokens of the answer.
    pub output_tokens: u32,
}

/// Returns the start and end of the time over which token shares are measured, in simulated milliseconds.
pub fn measurement_window_ms(settings: &LoadSettings) -> (f64, f64) {
    let (start, end) = match settings.workload.is_flood() {
        true => FLOOD_WINDOW,
        false => (0.0, 1.0),
    };
    (start * settings.duration_ms, end * settings.duration_ms)
}

/// Returns all requests of a workload in order of arrival.
pub fn arrivals(settings: &LoadSettings) -> Vec<Arrival> {
    let base_rate = settings.capacity_requests_per_s * settings.load;
    let mut generator = ArrivalGenerator::new(settings, settings.seed);
    let mut arrivals = generator.poisson(
        base_rate,
        (0.0, settings.duration_ms),
        FixedChoices::default(),
    );
    if settings.workload.is_flood() {
        let rate = settings.capacity_requests_per_s * settings.flood_factor;
        // The flood has a seed of its own, so that the other requests are the same with and without the flood.
        let mut flood = ArrivalGenerator::new(settings, !settings.seed);
        let fixed = FixedChoices::flood(settings);
        arrivals.extend(flood.poisson(rate, measurement_window_ms(settings), fixed));
    }
    arrivals.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    arrivals
}

/// Rank and client account that all requests of a stream have. `None` means that they are chosen at random.
#[derive(Clone, Copy, Debug, Default)]
struct FixedChoices {
    rank: Option<usize>,
    client_account: Option<usize>,
}

impl FixedChoices {
    fn flood(settings: &LoadSettings) -> Self {
        let last = |count: usize| Some(count.saturating_sub(1));
        match settings.workload {
            Workload::FloodLate => Self {
                rank: last(settings.ranks.len()),
                client_account: None,
            },
            Workload::FloodUrgent => Self {
                rank: Some(0),
                client_account: None,
            },
            Workload::FloodClientAccount => Self {
                rank: None,
                client_account: last(settings.client_accounts.len()),
            },
            Workload::Steady | Workload::Swing => Self::default(),
        }
    }
}

struct ArrivalGenerator<'a> {
    settings: &'a LoadSettings,
    random_state: u64,
}

impl<'a> ArrivalGenerator<'a> {
    fn new(settings: &'a LoadSettings, random_state: u64) -> Self {
        Self {
            settings,
            random_state,
        }
    }

    fn poisson(
        &mut self,
        per_s: f64,
        (start_ms, end_ms): (f64, f64),
        fixed: FixedChoices,
    ) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        if per_s <= 0.0 {
            return arrivals;
        }
        let mut at_ms = start_ms + self.interarrival_ms(per_s);
        while at_ms < end_ms {
            arrivals.push(self.arrival(at_ms, fixed));
            at_ms += self.interarrival_ms(per_s);
        }
        arrivals
    }

    fn interarrival_ms(&mut self, per_s: f64) -> f64 {
        -(1.0 - next_random(&mut self.random_state)).ln() / per_s * 1_000.0
    }

    fn arrival(&mut self, at_ms: f64, fixed: FixedChoices) -> Arrival {
        let settings = self.settings;
        let rank = self.weighted_index(settings.ranks.iter().map(|rank| rank.share));
        let client_account = self.weighted_index(
            settings
                .client_accounts
                .iter()
                .map(|client_account| client_account.share),
        );
        let lengths = self.request_lengths(at_ms);
        Arrival {
            at_ms,
            rank: fixed.rank.unwrap_or(rank),
            client_account: fixed.client_account.unwrap_or(client_account),
            entry: self.random_index(settings.entries.len()),
            document: self.random_index(settings.documents as usize) as u32,
            prompt_tokens: lengths.prompt_tokens,
            output_tokens: self.output_tokens(lengths),
        }
    }

    fn request_lengths(&self, at_ms: f64) -> RequestLengths {
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

    /// Returns an output length that is uniformly distributed from 0.25 to 1.75 times the mean.
    fn output_tokens(&mut self, lengths: RequestLengths) -> u32 {
        let factor = 0.25 + 1.5 * next_random(&mut self.random_state);
        ((f64::from(lengths.output_tokens) * factor) as u32).max(1)
    }

    fn random_index(&mut self, count: usize) -> usize {
        (next_random(&mut self.random_state) * count as f64) as usize
    }

    fn weighted_index(&mut self, shares: impl Iterator<Item = f64> + Clone) -> usize {
        let total: f64 = shares.clone().sum();
        let mut remainder = next_random(&mut self.random_state) * total;
        let mut last = 0;
        for (index, share) in shares.enumerate() {
            last = index;
            remainder -= share;
            if remainder < 0.0 {
                break;
            }
        }
        last
    }
}
