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
  # Incarnations that are held to be gone for good.
  gone @7 :List(UInt64);
}

# What the entry process tells in return.
struct EntryStatus {
  host @0 :Text;
  incarnation @1 :UInt64;
  peerAddress @2 :Text;
  configRevision @3 :UInt64;
  hasConfig @4 :Bool;
  runningTasks @5 :UInt32;
  queuedTasks @6 :UInt32;
  isDraining @7 :Bool;
  # When this life began, on the host's own wall clock.
  startedAtMs @8 :UInt64;
  hlc @9 :Text;
}

# Served by an entry process to the control process of its host.
interface EntryPort {
  install @0 (snapshot :Snapshot) -> (status :EntryStatus);
}

# What an entry host tells about itself; peers pass it on unchanged.
struct Heartbeat {
  host @0 :Text;
  zone @1 :Text;
  incarnation @2 :UInt64;
  # When this life began, on the host's own wall clock.
  startedAtMs @3 :UInt64;
  # Where the host's control process listens for peers.
  controlAddress @4 :Text;
  # Where its entry process takes requests passed on by peers.
  peerAddress @5 :Text;
  counter @6 :UInt64;
  runningTasks @7 :UInt32;
  queuedTasks @8 :UInt32;
  configRevision @9 :UInt64;
  isDraining @10 :Bool;
}

struct Gossip {
  from @0 :Heartbeat;
  others @1 :List(Heartbeat);
  # The receiver's incarnation, if the sender holds it to be gone.
  gone @2 :UInt64;
  hasGone @3 :Bool;
  # The sender's clock stamp.
  hlc @4 :Text;
}

# A configuration with its place in the log.
struct Handover {
  config @0 :Config;
  # It is the fold of every record before this offset, if it is complete.
  foldedTo @1 :UInt64;
  # Ids of the changes accepted of late, oldest first.
  recentChanges @2 :List(Text);
  # When the oldest record was appended that a late reader needs.
  neededSinceMs @3 :UInt64;
  hasNeededSince @4 :Bool;
  isComplete @5 :Bool;
}

# Served by a control process to its peers.
interface PeerPort {
  exchange @0 (gossip :Gossip) -> (gossip :Gossip);
  # The configuration in force at the peer; absent if it knows none.
  handover @1 () -> (handover :Handover);
}
