//! Measures the CPU time that the replicated log needs for a committed entry and for a heartbeat.
//!
//! All replicas run in one thread. Messages are delivered without delay and every write counts as synced once the
//! message queue is empty, so that the results include neither network nor disk time. Messages and writes
//! are not encoded.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bytes::Bytes;
use quorum::{Input, Message, Output, RecoveredState, Replica, ReplicaId, ReplicaSettings};

const COMMAND_BYTES: usize = 256;
const ENTRIES: u64 = 200_000;
const HEARTBEATS: u64 = 100_000;
const HEARTBEAT_INTERVAL_MS: u64 = 100;

/// Number of entries between two snapshots.
const SNAPSHOT_ENTRIES: u64 = 10_000;

/// Time spent in `Replica::step` and the number of messages sent.
#[derive(Clone, Copy, Default)]
struct Cost {
    step_time: Duration,
    messages: u64,
}

struct Cluster {
    replicas: Vec<Replica>,
    now_ms: u64,
    queue: VecDeque<(usize, Input)>,
    tickets: Vec<Option<u64>>,
    /// Cost of the replica at each position.
    costs: Vec<Cost>,
    out: Vec<Output>,
}

impl Cluster {
    /// Creates a cluster with the first replica as the leader, since only the first replica receives ticks.
    fn with_leader(voters: usize) -> Self {
        let mut cluster = Self {
            replicas: (0..voters)
                .map(|position| replica(position, voters))
                .collect(),
            now_ms: 0,
            queue: VecDeque::new(),
            tickets: vec![None; voters],
            costs: vec![Cost::default(); voters],
            out: Vec::new(),
        };
        while !cluster.is_ready() {
            cluster.tick();
        }
        cluster.costs.fill(Cost::default());
        cluster
    }

    fn is_ready(&self) -> bool {
        let statuses: Vec<_> = self.replicas.iter().map(Replica::status).collect();
        statuses[0].is_leader && statuses.iter().all(|status| status.commit_index > 0)
    }

    fn tick(&mut self) {
        self.now_ms += HEARTBEAT_INTERVAL_MS;
        self.step(0, Input::Tick);
        self.run_until_idle();
    }

    fn propose(&mut self, count: u64) {
        let command = Bytes::from(vec![1; COMMAND_BYTES]);
        for token in 0..count {
            let command = command.clone();
            self.step(0, Input::Propose { token, command });
        }
        self.run_until_idle();
    }

    /// Handles messages and syncs until none are left.
    fn run_until_idle(&mut self) {
        loop {
            while let Some((position, input)) = self.queue.pop_front() {
                self.step(position, input);
            }
            for position in 0..self.replicas.len() {
                if let Some(ticket) = self.tickets[position].take() {
                    self.step(position, Input::Persisted { ticket });
                }
            }
            if self.queue.is_empty() {
                return;
            }
        }
    }

    fn step(&mut self, position: usize, input: Input) {
        let start = Instant::now();
        let mut out = std::mem::take(&mut self.out);
        self.replicas[position].step(self.now_ms, input, &mut out);
        self.costs[position].step_time += start.elapsed();
        for output in out.drain(..) {
            self.execute(position, output);
        }
        self.out = out;
    }

    fn execute(&mut self, position: usize, output: Output) {
        match output {
            Output::Persist { ticket, .. } => self.tickets[position] = Some(ticket),
            Output::Send { to, message } => self.send(position, &to, message),
            Output::TakeSnapshot { index } => {
                let state = Bytes::from_static(b"state");
                self.queue
                    .push_back((position, Input::SnapshotState { index, state }));
            }
            _ => {}
        }
    }

    fn send(&mut self, position: usize, to: &ReplicaId, message: Message) {
        self.costs[position].messages += 1;
        let from = id(position);
        let voters = 0..self.replicas.len();
        let target = voters
            .into_iter()
            .find(|other| id(*other).instance == to.instance);
        let target = target.expect("replicas send messages only to voters");
        self.queue
            .push_back((target, Input::Receive { from, message }));
    }

    fn leader_cost(&self) -> Cost {
        self.costs[0]
    }

    /// Returns the mean cost of a follower.
    fn follower_cost(&self) -> Cost {
        let followers = &self.costs[1..];
        let step_time: Duration = followers.iter().map(|cost| cost.step_time).sum();
        let messages: u64 = followers.iter().map(|cost| cost.messages).sum();
        let count = followers.len() as u32;
        Cost {
            step_time: step_time / count,
            messages: messages / u64::from(count),
        }
    }
}

fn id(position: usize) -> ReplicaId {
    ReplicaId {
        instance: format!("voter-{position}").into(),
        storage_id: position as u64 + 1,
    }
}

fn replica(position: usize, voters: usize) -> Replica {
    let settings = ReplicaSettings {
        id: id(position),
        initial_ids: Vec::new(),
        initial_voters: (0..voters).map(|voter| id(voter).instance).collect(),
        heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
        election_timeout_min_ms: 600,
        election_timeout_max_ms: 1200,
        snapshot_entries: SNAPSHOT_ENTRIES,
        seed: position as u64,
    };
    Replica::new(settings, RecoveredState::default(), 0)
}

/// Prints the cost per event on the leader and on one follower.
fn report(name: &str, cluster: &Cluster, events: u64) {
    let step_ns = |cost: Cost| cost.step_time.as_nanos() as f64 / events as f64;
    let messages = |cost: Cost| cost.messages as f64 / events as f64;
    println!(
        "{name}: leader {:.0} ns and {:.2} messages, follower {:.0} ns and {:.2} messages",
        step_ns(cluster.leader_cost()),
        messages(cluster.leader_cost()),
        step_ns(cluster.follower_cost()),
        messages(cluster.follower_cost()),
    );
}

fn measure_entries(voters: usize, batch: u64) {
    let mut cluster = Cluster::with_leader(voters);
    let before = cluster.replicas[0].status().commit_index;
    for round in 0..ENTRIES / batch {
        cluster.propose(batch);
        // The cost of entries includes heartbeats only in their usual proportion. Without heartbeats, the leader would
        // step down.
        if round % 1000 == 0 {
            cluster.tick();
        }
    }
    let committed = cluster.replicas[0].status().commit_index - before;
    let name = format!("{voters} voters, {batch} proposals a sync, per committed entry");
    report(&name, &cluster, committed);
}

fn measure_heartbeats(voters: usize) {
    let mut cluster = Cluster::with_leader(voters);
    for _ in 0..HEARTBEATS {
        cluster.tick();
    }
    let followers = voters as u64 - 1;
    let name = format!("{voters} voters, per heartbeat to all {followers} followers");
    report(&name, &cluster, HEARTBEATS);
}

fn main() {
    println!("commands of {COMMAND_BYTES} bytes, {ENTRIES} entries, {HEARTBEATS} heartbeats");
    for voters in [3, 5] {
        for batch in [1, 8, 64] {
            measure_entries(voters, batch);
        }
        measure_heartbeats(voters);
    }
    println!("CPU time of the process: {:.2} s", process_cpu_s());
}

/// Returns the CPU time that the process has used, which shows whether the wall times above were disturbed.
fn process_cpu_s() -> f64 {
    let text = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let first = text.split_whitespace().next();
    let cpu_ns: u64 = first.and_then(|field| field.parse().ok()).unwrap_or(0);
    Duration::from_nanos(cpu_ns).as_secs_f64()
}
