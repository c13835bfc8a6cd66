//! Linearizable reads: the leader returns a read index only after a majority has confirmed its leadership.

use crate::message::Output;
use crate::peer::PendingRead;
use crate::replica::{Replica, Role};

impl Replica {
    pub(crate) fn on_read(&mut self, token: u64, out: &mut Vec<Output>) {
        let leader_instance = self.leader_instance();
        let confirmed_sequence = self.confirmed_sequence();
        let Role::Leader(leader) = &mut self.role else {
            let leader = leader_instance;
            return out.push(Output::NotLeader { token, leader });
        };
        let last_sequence = leader.heartbeat_rounds.last_sequence();
        leader.reads.push_back(PendingRead {
            token,
            index: self.commit_index,
            required_sequence: last_sequence + 1,
        });
        // Reads that arrive during a heartbeat round share the next round.
        if confirmed_sequence >= last_sequence {
            self.start_heartbeat_round(out);
        }
        self.answer_confirmed_reads(out);
    }

    /// Answers the reads to whose heartbeat round a majority has replied, and starts a round for reads that need a new
    /// one.
    pub(crate) fn answer_confirmed_reads(&mut self, out: &mut Vec<Output>) {
        let confirmed_sequence = self.confirmed_sequence();
        let commit_index = self.commit_index;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        // A leader may not know the latest commit index before an entry of its own term is committed.
        if commit_index < leader.term_start_index {
            return;
        }
        while let Some(read) = leader.reads.front() {
            if read.required_sequence > confirmed_sequence {
                break;
            }
            out.push(Output::ReadReady {
                token: read.token,
                index: read.index.max(leader.term_start_index),
            });
            leader.reads.pop_front();
        }
        let last_sequence = leader.heartbeat_rounds.last_sequence();
        let needs_round = leader
            .reads
            .back()
            .is_some_and(|read| read.required_sequence > last_sequence);
        if needs_round && confirmed_sequence >= last_sequence {
            self.start_heartbeat_round(out);
        }
    }

    /// Returns a time at which no entry that this replica has not applied was committed, in milliseconds: when the leader
    /// sent the latest heartbeat round to which a majority has replied. Returns `None` on other replicas, and on a leader
    /// that has not committed an entry of its own term yet.
    pub fn confirmed_ms(&self) -> Option<u64> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        if self.applied_index < leader.term_start_index {
            return None;
        }
        let confirmed_ms = self.members.current().majority_value(|id| {
            if *id == self.settings.id {
                return u64::MAX;
            }
            let replied = leader.peer(id).map(|peer| peer.replied_sequence);
            let sent_ms = replied.and_then(|sequence| leader.heartbeat_rounds.sent_ms(sequence));
            sent_ms.unwrap_or(0)
        });
        Some(confirmed_ms.min(self.now_ms))
    }

    /// Returns the number of the latest heartbeat round to which a majority of the voters has replied.
    fn confirmed_sequence(&self) -> u64 {
        let Role::Leader(leader) = &self.role else {
            return 0;
        };
        self.members.current().majority_value(|id| {
            if *id == self.settings.id {
                return leader.heartbeat_rounds.last_sequence();
            }
            leader.peer(id).map_or(0, |peer| peer.replied_sequence)
        })
    }
}
