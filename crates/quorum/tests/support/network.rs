//! Fake network: loses, duplicates, delays and reorders messages, and cuts links.

use std::collections::BTreeSet;

use super::random::Random;

#[derive(Debug)]
pub struct Network {
    pub loss_percent: u64,
    pub duplicate_percent: u64,
    pub min_delay_ms: u64,
    pub max_delay_ms: u64,
    /// Cut links, as (sender, receiver).
    pub cut: BTreeSet<(usize, usize)>,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            loss_percent: 0,
            duplicate_percent: 0,
            min_delay_ms: 1,
            max_delay_ms: 3,
            cut: BTreeSet::new(),
        }
    }
}

impl Network {
    /// Returns the delay of each copy that arrives.
    pub fn delays_ms(&self, from: usize, to: usize, random: &mut Random) -> Vec<u64> {
        if self.cut.contains(&(from, to)) || random.percent(self.loss_percent) {
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

    /// Cuts all links of one node.
    pub fn isolate(&mut self, node: usize, nodes: usize) {
        for other in (0..nodes).filter(|other| *other != node) {
            self.cut.insert((node, other));
            self.cut.insert((other, node));
        }
    }

    /// Cuts the links between the nodes in `group` and the others.
    pub fn split(&mut self, group: &[usize], nodes: usize) {
        for one in 0..nodes {
            for other in 0..nodes {
                if group.contains(&one) != group.contains(&other) {
                    self.cut.insert((one, other));
                }
            }
        }
    }
}
