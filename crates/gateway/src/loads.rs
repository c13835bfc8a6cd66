//! The load that the entries of an availability zone have sent to upstreams, summed by a replica.

use conf::{Map, Name};
use fleet::UpstreamLoad;

/// Upstreams whose load is sent to an entry. Beyond this number those with the least load are left out: an entry places
/// few requests there by mistake.
const MAX_UPSTREAMS: usize = 1_024;

/// Load of upstreams, by the availability zone of the entries that have sent it and by the key of the upstream.
#[derive(Clone, Debug, Default)]
pub struct ZoneLoads {
    zones: Map<Name, Map<u64, Load>>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Load {
    running: u32,
    prompt_tokens: u32,
}

impl ZoneLoads {
    /// Adds the loads of an entry.
    pub fn add(&mut self, zone: &Name, loads: &[UpstreamLoad]) {
        if loads.is_empty() {
            return;
        }
        let sums = self.zones.entry(zone.clone()).or_default();
        for load in loads {
            let sum = sums.entry(load.upstream_key).or_default();
            sum.running = sum.running.saturating_add(load.running);
            sum.prompt_tokens = sum.prompt_tokens.saturating_add(load.prompt_tokens);
        }
    }

    /// Removes loads that were added before.
    pub fn remove(&mut self, zone: &Name, loads: &[UpstreamLoad]) {
        let Some(sums) = self.zones.get_mut(zone) else {
            return;
        };
        for load in loads {
            let Some(sum) = sums.get_mut(&load.upstream_key) else {
                continue;
            };
            sum.running = sum.running.saturating_sub(load.running);
            sum.prompt_tokens = sum.prompt_tokens.saturating_sub(load.prompt_tokens);
            if *sum == Load::default() {
                sums.remove(&load.upstream_key);
            }
        }
        if sums.is_empty() {
            self.zones.remove(zone);
        }
    }

    /// Returns the loads of the other entries of a zone, where `own` are the loads of the entry that receives them.
    pub fn others(&self, zone: &Name, own: &[UpstreamLoad]) -> Vec<UpstreamLoad> {
        let Some(sums) = self.zones.get(zone) else {
            return Vec::new();
        };
        let own: Map<u64, &UpstreamLoad> =
            own.iter().map(|load| (load.upstream_key, load)).collect();
        let mut others: Vec<UpstreamLoad> = sums
            .iter()
            .map(|(key, sum)| {
                let own = own.get(key);
                let own_tokens = own.map_or(0, |load| load.prompt_tokens);
                UpstreamLoad {
                    upstream_key: *key,
                    running: sum
                        .running
                        .saturating_sub(own.map_or(0, |load| load.running)),
                    prompt_tokens: sum.prompt_tokens.saturating_sub(own_tokens),
                }
            })
            .filter(|load| load.running > 0 || load.prompt_tokens > 0)
            .collect();
        if others.len() > MAX_UPSTREAMS {
            others.sort_by_key(|load| std::cmp::Reverse((load.prompt_tokens, load.running)));
            others.truncate(MAX_UPSTREAMS);
        }
        others
    }
}
