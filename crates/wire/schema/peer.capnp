# Messages between instances, the payload of log entries and the content of snapshots.
@0xf62091a96f6cf752;

# A null pointer means that an optional value is absent.

# Interface of an instance's peer listener.
interface Peer {
  # Proves to the caller that this instance holds the shared secret. The proof covers the nonces of both instances.
  challenge @0 (id :Text, nonce :Data) -> (id :Text, nonce :Data, proof :Data);

  # Proves to this instance that the caller holds the shared secret. The proof covers the nonce that `challenge`
  # returned on this connection.
  hello @1 (id :Text, nonce :Data, proof :Data) -> (session :Session);
}

# Accepts messages from one authenticated instance.
interface Session {
  # Receives a message. `data` is an encoded PeerMessage.
  send @0 (data :Data) -> ();
}

struct PeerMessage {
  union {
    quorum :group {
      from @0 :ReplicaId;
      to @1 :ReplicaId;
      message @2 :QuorumMessage;
    }
    propose @3 :Proposal;
    proposeReply :group {
      id @4 :ProposalId;
      reply @5 :ProposeReply;
    }
    report @6 :InstanceReport;
    reportReply @7 :LeaderReply;
    digest @8 :List(LoadDigest);
    askConfig :group {
      token @9 :UInt64;
      info @13 :InstanceInfo;
    }
    config :group {
      token @10 :UInt64;
      config @11 :ConfigRevision;
      instances @12 :List(InstanceInfo);
    }
    watch @14 :Watch;
    watchReply @15 :WatchReply;
  }
}

# Subscription of an instance to a replica, with data that the replica passes on to other entry instances.
struct Watch {
  info @0 :InstanceInfo;
  sequence @1 :UInt64;
  acceptsCallers @2 :Bool;
  version @3 :UInt64;
  listing @4 :UInt64;
  loads @5 :List(UpstreamLoad);
  prefixUses @6 :List(PrefixUse);
  quarantine @7 :QuarantineReport;
  limits @8 :List(LimitReport);
  isProbe @9 :Bool;
  usage @10 :List(UsageCount);
  demand @11 :List(ServiceRate);
  speeds @12 :List(SpeedReport);
  leaving @13 :List(LeavingUpstream);
}

# An upstream that has announced its end in its answers.
struct LeavingUpstream {
  upstreamKey @0 :UInt64;
  bornMs @1 :UInt64;
}

# Requests of a client account that upstreams have begun to run in one window.
struct UsageCount {
  source @0 :UInt64;
  window @1 :UInt64;
  account @2 :Text;
  count @3 :UInt32;
}

# Work that callers in an availability zone ask for.
struct ServiceRate {
  service @0 :Text;
  availabilityZone @1 :Text;
  requestsPerS @2 :Float64;
  promptTokensPerS @3 :Float64;
  outputTokensPerS @4 :Float64;
  lateRequestsPerS @5 :Float64;
}

# Limit on requests that an upstream has stated.
struct LimitReport {
  upstreamKey @0 :UInt64;
  perS @1 :Float64;
  hasEnded @2 :Bool;
  ageMs @3 :UInt64;
}

struct LimitShare {
  upstreamKey @0 :UInt64;
  perS @1 :Float64;
  sharePerS @2 :Float64;
  hasEnded @3 :Bool;
}

# What an instance has observed of crashes of engines.
struct QuarantineReport {
  crashes @0 :List(CrashReport);
  sound @1 :List(SoundReport);
  refused @2 :List(UInt64);
  version @3 :UInt64;
  verdicts @4 :List(Verdict);
}

struct CrashReport {
  engine @0 :UInt64;
  parts @1 :List(SuspectPart);
  ageMs @2 :UInt64;
}

struct SuspectPart {
  key @0 :UInt64;
  depth @1 :UInt32;
}

struct SoundReport {
  part @0 :UInt64;
  ageMs @1 :UInt64;
}

# The verdict on a part of prompts under which engines crash.
struct Verdict {
  part @0 :UInt64;
  revision @1 :UInt64;
  isBlocked @2 :Bool;
  crashes @3 :UInt32;
  trials @4 :UInt32;
  ageMs @5 :UInt64;
  retryInMs @6 :UInt64;
}

struct QuarantineUpdate {
  watched @0 :List(UInt64);
  version @1 :UInt64;
  verdicts @2 :List(Verdict);
  trials @3 :List(UInt64);
}

# What an entry has observed of the speed of an upstream.
struct SpeedReport {
  upstreamKey @0 :UInt64;
  statedPercent @1 :UInt16;
  ageMs @2 :UInt16;
  promptPercent @3 :UInt16;
  outputPercent @4 :UInt16;
}

# Use of a shared prompt prefix at an engine.
struct PrefixUse {
  key @0 :UInt64;
  upstreamKey @1 :UInt64;
}

struct WatchReply {
  sequence @0 :UInt64;
  isCurrent @1 :Bool;
  version @2 :UInt64;
  document @3 :Data;
  listing @4 :UInt64;
  listingAgeMs @5 :UInt64;
  replicas @6 :List(InstanceInfo);
  entries @7 :UInt32;
  watchIntervalMs @8 :UInt64;
  loads @9 :List(UpstreamLoad);
  prefixUses @10 :List(PrefixUse);
  listingUpdate :union {
    none @11 :Void;
    # An UpstreamList, compressed.
    complete @12 :Data;
    changes :group {
      base @13 :UInt64;
      changed @14 :List(UpstreamRecord);
      removed @15 :List(Text);
    }
  }
  quarantine @16 :QuarantineUpdate;
  limitShares @17 :List(LimitShare);
  speeds @18 :List(SpeedReport);
  # 2^64 - 1 if the age is not known.
  documentAgeMs @19 :UInt64;
}

struct UpstreamLoad {
  upstreamKey @0 :UInt64;
  running @1 :UInt32;
  promptTokens @2 :UInt32;
}

struct UpstreamList {
  upstreams @0 :List(UpstreamRecord);
}

struct UpstreamRecord {
  id @0 :Text;
  service @1 :Text;
  address @2 :Text;
  availabilityZone @3 :Text;
  slots @4 :UInt32;
  draining @5 :Bool;
  bornMs @6 :UInt64;
  role @7 :Role;
  isChanging @8 :Bool;
  isReclaimable @9 :Bool;
}

struct ReplicaId {
  instance @0 :Text;
  storageId @1 :UInt64;
}

struct MemberSet {
  voters @0 :List(ReplicaId);
  learners @1 :List(ReplicaId);
  instances @2 :List(Text);
  index @3 :UInt64;
  superseded @4 :List(Text);
}

struct Entry {
  index @0 :UInt64;
  term @1 :UInt64;
  body :union {
    empty @2 :Void;
    command @3 :Data;
    members @4 :MemberSet;
  }
}

struct QuorumMessage {
  term @0 :UInt64;
  union {
    preVote :group {
      lastIndex @1 :UInt64;
      lastTerm @2 :UInt64;
      voterStorageId @26 :UInt64;
    }
    preVoteReply :group {
      granted @3 :Bool;
    }
    vote :group {
      lastIndex @4 :UInt64;
      lastTerm @5 :UInt64;
      voterStorageId @27 :UInt64;
    }
    voteReply :group {
      granted @6 :Bool;
    }
    append :group {
      prevIndex @7 :UInt64;
      prevTerm @8 :UInt64;
      commit @9 :UInt64;
      readSequence @10 :UInt64;
      entries @11 :List(Entry);
    }
    appendReply :group {
      success @12 :Bool;
      matchIndex @13 :UInt64;
      readSequence @14 :UInt64;
      matchTerm @28 :UInt64;
    }
    snapshotChunk :group {
      index @15 :UInt64;
      snapshotTerm @16 :UInt64;
      members @17 :MemberSet;
      offsetBytes @18 :UInt64;
      totalBytes @19 :UInt64;
      data @20 :Data;
    }
    snapshotReply :group {
      index @21 :UInt64;
      receivedBytes @22 :UInt64;
    }
    join :group {
      formed @23 :Bool;
      membersIndex @29 :UInt64;
      initial @34 :Bool;
    }
    joinReply :group {
      formed @24 :Bool;
      members @25 :MemberSet;
      storageId @30 :UInt64;
      membersIndex @31 :UInt64;
    }
    leave @32 :Void;
    leaveReply :group {
      storageId @33 :UInt64;
    }
  }
}

struct ProposalId {
  instance @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
}

struct Proposal {
  id @0 :ProposalId;
  atMs @1 :UInt64;
  command @2 :Command;
}

struct Command {
  union {
    configure @0 :Configure;
    begin @1 :Begin;
    finish @2 :Finish;
    grantGate :group {
      upstream @3 :Text;
      holder @4 :GateHolder;
      fromEpoch @5 :UInt64;
      evidence @6 :GrantEvidence;
    }
    releaseGate :group {
      upstream @7 :Text;
      holder @8 :GateHolder;
      epoch @9 :UInt64;
    }
    order :group {
      upstream @10 :Text;
      change @11 :OrderChange;
    }
    orderDone :group {
      upstream @12 :Text;
      epoch @13 :UInt64;
      sequence @14 :UInt64;
      outcome @15 :OrderOutcome;
    }
    drain :group {
      target @16 :DrainTarget;
      draining @17 :Bool;
    }
    confirmDead :group {
      instance @18 :Text;
      incarnation @19 :UInt64;
    }
    advance @20 :Void;
    replaceVoter :group {
      old @21 :Text;
      new @22 :Text;
    }
  }
}

struct GateHolder {
  instance @0 :Text;
  incarnation @1 :UInt64;
}

enum GrantEvidence {
  vacant @0;
  leaseExpired @1;
  restarted @2;
  reportedGone @3;
  confirmedDead @4;
}

struct FileText {
  name @0 :Text;
  text @1 :Text;
}

struct Configure {
  baseRevision @0 :UInt64;
  contentId @1 :Text;
  canonical @2 :Text;
  files @3 :List(FileText);
  author @4 :Text;
}

struct ConfigRevision {
  revision @0 :UInt64;
  baseRevision @1 :UInt64;
  contentId @2 :Text;
  canonical @3 :Text;
  files @4 :List(FileText);
  author @5 :Text;
  atMs @6 :UInt64;
}

enum Role {
  unset @0;
  prefill @1;
  decode @2;
  mixed @3;
}

struct OrderChange {
  role @0 :Role;
  load @1 :Text;
  unload @2 :Text;
}

struct Order {
  upstream @0 :Text;
  sequence @1 :UInt64;
  change @2 :OrderChange;
}

enum OrderOutcome {
  done @0;
  refused @1;
}

struct DrainTarget {
  union {
    instance @0 :Text;
    upstream @1 :Text;
  }
}

struct CommandReply {
  union {
    configure @0 :ConfigureReply;
    begin @1 :BeginReply;
    applied @2 :Void;
    refused @3 :Text;
  }
}

struct ConfigureReply {
  union {
    accepted :group {
      revision @0 :UInt64;
    }
    conflict :group {
      currentRevision @1 :UInt64;
      currentContentId @2 :Text;
      author @3 :Text;
    }
  }
}

struct ProposeReply {
  union {
    applied @0 :CommandReply;
    notLeader :group {
      leader @1 :Text;
    }
  }
}

struct Key {
  tenant @0 :Text;
  key @1 :Text;
}

struct AttemptId {
  instance @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Answer {
  status @0 :UInt16;
  headers @1 :List(Header);
  body @2 :Data;
  truncated @3 :Bool;
}

struct Begin {
  key @0 :Key;
  bodySha256 @1 :Data;
  attempt @2 :AttemptId;
  answerTimeoutMs @3 :UInt64;
  retentionMs @4 :UInt64;
}

struct BeginReply {
  union {
    granted @0 :Void;
    answered @1 :Answer;
    running @2 :Void;
    unknown @3 :Void;
    bodyMismatch @4 :Void;
  }
}

struct Outcome {
  union {
    answered @0 :Answer;
    notRun @1 :Void;
    unknown @2 :Void;
  }
}

struct Finish {
  key @0 :Key;
  attempt @1 :AttemptId;
  outcome @2 :Outcome;
}

struct InstanceInfo {
  id @0 :Text;
  incarnation @1 :UInt64;
  availabilityZone @2 :Text;
  peerAddress @3 :Text;
}

struct ServiceDemand {
  service @0 :Text;
  promptTokens @1 :UInt64;
  outputTokens @2 :UInt64;
}

struct InstanceReport {
  info @0 :InstanceInfo;
  sequence @1 :UInt64;
  revision @2 :UInt64;
  stopping @3 :Bool;
  viewVersion @4 :UInt64;
  demand @5 :List(ServiceDemand);
  quarantine @6 :QuarantineReport;
}

struct Gate {
  upstream @0 :Text;
  holder @1 :GateHolder;
  epoch @2 :UInt64;
  order @3 :Order;
}

struct LeaderReply {
  sequence @0 :UInt64;
  isLeader @1 :Bool;
  leader @2 :Text;
  term @3 :UInt64;
  revision @4 :UInt64;
  config @5 :ConfigRevision;
  view @6 :ClusterView;
  liveInstances @7 :UInt64;
  instancesInForce @8 :UInt64;
  quarantine @9 :QuarantineUpdate;
}

struct ClusterView {
  version @0 :UInt64;
  instances @1 :List(InstanceView);
  drainingUpstreams @2 :List(Text);
  gates @3 :List(Gate);
}

struct InstanceView {
  info @0 :InstanceInfo;
  draining @1 :Bool;
  revision @2 :UInt64;
}

struct LoadDigest {
  upstream @0 :Text;
  ageMs @1 :UInt64;
  running @2 :UInt32;
  waiting @3 :UInt32;
  promptTokensWaiting @4 :UInt32;
  kvChunksUsed @5 :UInt32;
}

# State of the control state machine, which is the content of a snapshot.
struct ControlState {
  timeMs @0 :UInt64;
  revisions @1 :List(ConfigRevision);
  gates @2 :List(GateState);
  drains @3 :List(DrainTarget);
  dead @4 :List(GateHolder);
  appliedOrders @5 :List(ProposalId);
  records @6 :List(Record);
}

struct GateState {
  upstream @0 :Text;
  holder @1 :GateHolder;
  epoch @2 :UInt64;
  order @3 :Order;
  outcome :union {
    outstanding @4 :Void;
    ended @5 :OrderOutcome;
  }
}

struct Record {
  key @0 :Key;
  bodySha256 @1 :Data;
  attempt @2 :AttemptId;
  answerDeadlineMs @3 :UInt64;
  expiryDeadlineMs @4 :UInt64;
  endedAttempts @5 :List(AttemptId);
  state :union {
    begun @6 :Void;
    answered @7 :Answer;
    notRun @8 :Void;
    unknown @9 :Void;
  }
}
