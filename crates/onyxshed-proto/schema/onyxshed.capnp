# What onyxshed's own processes say to each other.
#
# A control process hands snapshots to the entry process of its host, and exchanges digests with the
# control processes of other hosts. Names, ids and addresses are texts in the forms that
# onyxshed-core reads; every reader checks them.

@0xb3a5c7d1e9f20846;

struct ClassTarget {
  class @0 :Text;
  upstream @1 :Text;
  finishWithinMs @2 :UInt64;
  mayRunTwice @3 :Bool;
}

struct Config {
  revision @0 :UInt64;
  classes @1 :List(ClassTarget);
  # The changes accepted of late, oldest first, by which a lost answer is looked up.
  recentChanges @2 :List(Text);
}

struct Executor {
  name @0 :Text;
  upstream @1 :Text;
  zone @2 :Text;
  rack @3 :Text;
  address @4 :Text;
  slots @5 :UInt32;
  isLeaving @6 :Bool;
}

enum MemberState {
  live @0;
  suspect @1;
  gone @2;
}

struct Member {
  host @0 :Text;
  zone @1 :Text;
  incarnation @2 :UInt64;
  # Where the member's entry process takes requests passed on by peers.
  peerAddress @3 :Text;
  state @4 :MemberState;
}

# Everything that an entry process learns from its control process.
struct Snapshot {
  # Absent until a configuration is known.
  config @0 :Config;
  executors @1 :List(Executor);
  # Whether the executors are known at all; an empty list may also mean that there are none.
  hasExecutors @2 :Bool;
  members @3 :List(Member);
  # Live entry hosts of this zone, this one included.
  sharers @4 :UInt32;
  # Live entry hosts of all zones, this one included.
  live @5 :UInt32;
  # The sender's clock stamp.
  hlc @6 :Text;
}

# What the entry process tells in return.
struct EntryStatus {
  host @0 :Text;
  incarnation @1 :UInt64;
  peerAddress @2 :Text;
  configRevision @3 :UInt64;
  hasConfig @4 :Bool;
  liveJobs @5 :UInt32;
  isDraining @6 :Bool;
  hlc @7 :Text;
}

# Served by an entry process to the control process of its host.
interface EntryPort {
  install @0 (snapshot :Snapshot) -> (status :EntryStatus);
}

# One host as a peer knows it.
struct PeerEntry {
  host @0 :Text;
  zone @1 :Text;
  incarnation @2 :UInt64;
  heartbeat @3 :UInt64;
  # Where the host's control process listens for peers.
  controlAddress @4 :Text;
  # Where its entry process takes requests passed on by peers.
  entryAddress @5 :Text;
  configRevision @6 :UInt64;
  liveJobs @7 :UInt32;
  isDraining @8 :Bool;
  state @9 :MemberState;
}

struct Digest {
  from @0 :PeerEntry;
  entries @1 :List(PeerEntry);
  hlc @2 :Text;
}

# Served by a control process to its peers.
interface PeerPort {
  exchange @0 (digest :Digest) -> (digest :Digest);
  # The configuration in force at the peer; absent if it knows none.
  config @1 () -> (config :Config);
}
