//! Estimates of answer lengths in tokens, by client account and model.

use conf::{Map, Name};

/// Quantile of the observed lengths that is used as the expected length.
const QUANTILE: f64 = 0.7;
/// Expected length before the first observation, in tokens.
const DEFAULT_TOKENS: u32 = 256;
/// Buckets of a histogram: two for each doubling, up to 65,536 tokens.
const BUCKETS: usize = 33;
/// Number of observations after which all counts are halved, so that old observations lose weight.
const HALVING_COUNT: u32 = 1_024;
/// Number of observations from which a client account's histogram is used instead of the model's histogram.
const ACCOUNT_MIN_COUNT: u32 = 8;
/// Histograms kept by client account and model. Further accounts use the model's histogram.
const HISTOGRAMS_MAX: usize = 16_384;

#[derive(Clone, Debug)]
struct Histogram {
    counts: [u16; BUCKETS],
    total: u32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
            total: 0,
        }
    }
}

/// Histograms of answer lengths.
#[derive(Clone, Debug, Default)]
pub struct OutputLengths {
    by_model: Map<Name, Histogram>,
    by_client_account: Map<(Name, Name), Histogram>,
}

impl OutputLengths {
    /// Records the length of a complete answer.
    pub fn observe(&mut self, client_account: &Name, model: &Name, output_tokens: u32) {
        self.by_model
            .entry(model.clone())
            .or_default()
            .observe(output_tokens);
        let key = (client_account.clone(), model.clone());
        if self.by_client_account.len() < HISTOGRAMS_MAX
            || self.by_client_account.contains_key(&key)
        {
            self.by_client_account
                .entry(key)
                .or_default()
                .observe(output_tokens);
        }
    }

    /// Returns the expected length of an answer of which `delivered` tokens are delivered, in tokens. The result is
    /// greater than `delivered` unless that is `u32::MAX`.
    pub fn expected(&self, client_account: &Name, model: &Name, delivered: u32) -> u32 {
        let own = self
            .by_client_account
            .get(&(client_account.clone(), model.clone()));
        let own = own.filter(|histogram| histogram.total >= ACCOUNT_MIN_COUNT);
        let expected = own
            .or_else(|| self.by_model.get(model))
            .and_then(|histogram| histogram.quantile_above(delivered))
            .unwrap_or_else(|| DEFAULT_TOKENS.max(delivered.saturating_add(delivered / 2)));
        expected.max(delivered.saturating_add(1))
    }
}

impl Histogram {
    fn observe(&mut self, tokens: u32) {
        self.counts[bucket(tokens)] += 1;
        self.total += 1;
        if self.total >= HALVING_COUNT {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().map(|count| u32::from(*count)).sum();
        }
    }

    /// Returns the quantile of the lengths in the buckets that reach above `delivered`, or `None` if these
    /// buckets are empty.
    fn quantile_above(&self, delivered: u32) -> Option<u32> {
        let first = if delivered == 0 { 0 } else { bucket(delivered) };
        let above = &self.counts[first..];
        let total: u32 = above.iter().map(|count| u32::from(*count)).sum();
        if total == 0 {
            return None;
        }
        let wanted = QUANTILE * f64::from(total);
        let mut seen = 0.0;
        for (index, count) in above.iter().enumerate() {
            seen += f64::from(*count);
            if seen >= wanted {
                return Some(bucket_middle(first + index));
            }
        }
        None
    }
}

fn bucket(tokens: u32) -> usize {
    let doublings = f64::from(tokens.max(1)).log2();
    ((doublings * 2.0) as usize).min(BUCKETS - 1)
}

fn bucket_middle(bucket: usize) -> u32 {
    ((bucket as f64 + 0.5) / 2.0).exp2() as u32
}
