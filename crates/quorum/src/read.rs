//! Current reads: an index is returned only after a majority has confirmed the leader.

use crate::message::Output;
use crate::peer::PendingRead;
use crate::replica::{Replica, Role};

impl Replica {
    pub(crate) fn on_read(&mut self, token: u64, out: &mut Vec<Output>) {
        let leader_instance = self.leader_instance();
        let confirmed = self.confirmed_sequence();
        let Role::Leader(leader) = &mut self.role else {
            let leader = leader_instance;
            return out.push(Output::NotLeader { token, leader });
        };
        let sent = leader.rounds.sequence();
        leader.reads.push_back(PendingRead {
            token,
            index: self.commit_index,
            sequence: sent + 1,
        });
        // Reads that arrive during a round share the next one.
        if confirmed >= sent {
            self.start_round(out);
        }
        self.release_reads(out);
    }

    /// Answers the reads whose round a majority has answered, and starts a round for those that wait for one.
    pub(crate) fn release_reads(&mut self, out: &mut Vec<Output>) {
        let confirmed = self.confirmed_sequence();
        let commit_index = self.commit_index;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        // Before an entry of its own term has committed, a leader may not know the latest commit index.
        if commit_index < leader.first_index {
            return;
        }
        while let Some(read) = leader.reads.front() {
            if read.sequence > confirmed {
                break;
            }
            out.push(Output::ReadReady {
                token: read.token,
                index: read.index.max(leader.first_index),
            });
            leader.reads.pop_front();
        }
        let sent = leader.rounds.sequence();
        let waits = leader.reads.back().is_some_and(|read| read.sequence > sent);
        if waits && confirmed >= sent {
            self.start_round(out);
        }
    }

    /// Returns the highest round that a majority of the voters has answered.
    fn confirmed_sequence(&self) -> u64 {
        let Role::Leader(leader) = &self.role else {
            return 0;
        };
        self.members.current().majority_value(|id| {
            if *id == self.settings.id {
                return leader.rounds.sequence();
            }
            leader.peer(id).map_or(0, |peer| peer.sequence)
        })
    }
}
