//! A fake network that loses, duplicates, delays and reorders messages and can cut links.

use std::collections::BTreeSet;

use super::random::Random;

#[derive(Debug)]
pub struct Network {
    pub loss_percent: u64,
    pub duplicate_percent: u64,
    pub min_delay_ms: u64,
    pub max_delay_ms: u64,
    /// Links that deliver no messages, as (sender, receiver).
    pub cut_links: BTreeSet<(usize, usize)>,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            loss_percent: 0,
            duplicate_percent: 0,
            min_delay_ms: 1,
            max_delay_ms: 3,
            cut_links: BTreeSet::new(),
        }
    }
}

impl Network {
    /// Returns the delay in milliseconds of each copy of a message that arrives.
    pub fn delays_ms(&self, from: usize, to: usize, random: &mut Random) -> Vec<u64> {
        if self.cut_links.contains(&(from, to)) || random.percent(self.loss_percent) {
            return Vec::new();
        }
        let copies = if random.percent(self.duplicate_percent) {
            2
        } else {
            1
        };
        let span = self.max_delay_ms - self.min_delay_ms + 1;
        let mut delay = || self.min_delay_ms + random.below(span);
        (0..copies).map(|_| delay()).collect()
    }

    /// Cuts all links of a node in both directions.
    pub fn isolate(&mut self, node: usize, nodes: usize) {
        for other in (0..nodes).filter(|other| *other != node) {
            self.cut_links.insert((node, other));
            self.cut_links.insert((other, node));
        }
    }

    /// Cuts the links between the nodes in `group` and the others.
    pub fn split(&mut self, group: &[usize], nodes: usize) {
        for node in 0..nodes {
            for other in 0..nodes {
                if group.contains(&node) != group.contains(&other) {
                    self.cut_links.insert((node, other));
                }
            }
        }
    }
}
