//! The upstreams of a service, grouped by model, role and availability zone for fast sampling.

use std::hash::BuildHasher;

use conf::{Map, Name, Role, ServiceKind};

use crate::table::TableSlot;
use foldhash::fast::FixedState;

/// Points of one upstream on the hash ring. More points make the shares more even and cost memory.
const RING_POINTS: u64 = 16;

/// The routing state of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceState {
    pub(crate) kind: ServiceKind,
    /// Table slots of the service's upstreams.
    pub(crate) members: Vec<u32>,
    /// Pools by model. A pool is built on first use and dropped when a role or a list of loaded models changes.
    pub(crate) pools: Map<Option<u32>, Pool>,
    /// Position of the next member in the round-robin policy.
    pub(crate) next_member: usize,
    /// Measured time of a plain request, in milliseconds.
    pub(crate) plain_request_ms: f64,
}

/// The upstreams that serve one model, by role and availability zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    pub(crate) model: Option<u32>,
    all: [Vec<u32>; 3],
    zones: [Vec<(Name, Vec<u32>)>; 3],
    /// Points of a consistent-hash ring over all zones, sorted.
    rings: [Vec<(u64, u32)>; 3],
}

impl Pool {
    pub(crate) fn build(model: Option<u32>, members: &[u32], slots: &[TableSlot]) -> Self {
        let mut pool = Self {
            model,
            ..Self::default()
        };
        for slot in members {
            let Some(view) = slots[*slot as usize].view.as_ref() else {
                continue;
            };
            if !view.serves(model) {
                continue;
            }
            let role = role_index(view.role);
            pool.all[role].push(*slot);
            let name = FixedState::with_seed(0).hash_one(view.name.as_str());
            let points = (0..RING_POINTS).map(|point| (keyed_hash(name, point), *slot));
            pool.rings[role].extend(points);
            let zones = &mut pool.zones[role];
            match zones.iter_mut().find(|(zone, _)| *zone == view.zone) {
                Some((_, members)) => members.push(*slot),
                None => zones.push((view.zone.clone(), vec![*slot])),
            }
        }
        pool.rings.iter_mut().for_each(|ring| ring.sort_unstable());
        pool
    }

    /// Returns the upstreams in their order on the hash ring, starting from a prompt's first chunk. The order is the
    /// same on all instances.
    pub(crate) fn ring_order(&self, role: Role, chunk: u64) -> impl Iterator<Item = u32> {
        let ring = &self.rings[role_index(role)];
        let key = keyed_hash(chunk, 0);
        let first = ring.partition_point(|(point, _)| *point < key);
        let points = ring[first..].iter().chain(&ring[..first]);
        points.map(|(_, slot)| *slot)
    }

    pub(crate) fn all(&self, role: Role) -> &[u32] {
        &self.all[role_index(role)]
    }

    pub(crate) fn zones(&self, role: Role) -> &[(Name, Vec<u32>)] {
        &self.zones[role_index(role)]
    }

    pub(crate) fn has_disaggregated_roles(&self) -> bool {
        !self.all(Role::Prefill).is_empty() && !self.all(Role::Decode).is_empty()
    }
}

fn role_index(role: Role) -> usize {
    match role {
        Role::Mixed => 0,
        Role::Prefill => 1,
        Role::Decode => 2,
    }
}

/// Returns the hash of a number with a key as its seed.
pub(crate) fn keyed_hash(key: u64, number: u64) -> u64 {
    FixedState::with_seed(key).hash_one(number)
}
