# What hosts say to the owner of a pool of executors.
#
# An entry host hands a job whole to a pool's owner and waits for its end. Heartbeats carry the
# owner's sum of its pool back, and open the sessions in which jobs are taken.

@0xc2f0a4d6b8e1973d;

struct PoolLoad {
  capacityCpuMillis @0 :UInt64;
  freeCpuMillis @1 :UInt64;
  # Thousandths of a core times milliseconds.
  waitingWork @2 :UInt64;
  isClosing @3 :Bool;
  isLeaving @4 :Bool;
  # Where the successor is asked that takes the pool over; empty if there is none.
  successor @5 :Text;
  # Number of the report, counted by its owner.
  version @6 :UInt64;
  # Remaining work of what runs, in thousandths of a core times milliseconds.
  runningWork @7 :UInt64;
  # Mean speed of the executors in thousandths: 1,000 if tasks take as long as estimated.
  speedMillis @8 :UInt32;
  overload @9 :OverloadState;
  admissions @10 :List(ClassAdmission);
  limitedCallers @11 :List(CallerLimit);
}

enum OverloadState {
  normal @0;
  overloaded @1;
  saturated @2;
}

# What an overloaded pool admits of a class.
struct ClassAdmission {
  class @0 :Text;
  # Share of the class's jobs that is admitted, in thousandths.
  admittedMillis @1 :UInt16;
  waitMs @2 :UInt64;
}

# What an overloaded pool admits of a caller that has used more than its share.
struct CallerLimit {
  caller @0 :UInt64;
  admittedMillis @1 :UInt16;
}

# What a host that could own the pool tells of itself.
struct SuccessorOffer {
  # Where owners are asked there.
  address @0 :Text;
  cpuMillis @1 :UInt32;
}

struct PoolExecutor {
  id @0 :Text;
  address @1 :Text;
  upstream @2 :Text;
  cpuMillis @3 :UInt32;
  memoryMb @4 :UInt32;
  accelerators @5 :UInt32;
  labels @6 :List(Text);
  # Empty where it is not known.
  rack @7 :Text;
  isDraining @8 :Bool;
  # Milliseconds since 1970; 0 where it is not known.
  bornMs @9 :UInt64;
}

# What a successor is given by the owner before it.
struct OwnershipTransfer {
  token @0 :UInt64;
  # Names in the pool's group of the owners before it that the store may still take for the owner.
  pastMembers @1 :List(Text);
  executors @2 :List(PoolExecutor);
}

struct PoolJob {
  job @0 :UInt64;
  submission @1 :UInt64;
  upstream @2 :Text;
  spec @3 :Text;
  tasks @4 :UInt16;
  cpuMillis @5 :UInt32;
  memoryMb @6 :UInt32;
  accelerators @7 :UInt32;
  estimateMs @8 :UInt64;
  attemptsMax @9 :UInt32;
  stretchMillis @10 :UInt32;
  objectiveMs @11 :UInt64;
  timeLeftMs @12 :UInt64;
  # Empty where it does not matter.
  label @13 :Text;
  dataRack @14 :Text;
  # 0 where it is not bounded.
  perExecutorMax @15 :UInt16;
  spentMs @16 :UInt64;
  class @17 :Text;
  # 0 is the most urgent.
  priority @18 :UInt32;
  # 0 where the caller is not known.
  caller @19 :UInt64;
  # How often an owner has passed the job on.
  transfers @20 :UInt8;
}

enum PoolEndKind {
  completed @0;
  failed @1;
  notRun @2;
  unknown @3;
}

struct PoolEnd {
  kind @0 :PoolEndKind;
  # Number of the reason within its kind.
  reason @1 :UInt8;
  retryAfterMs @2 :UInt64;
}

struct KnownOwner {
  pool @0 :Text;
  # Where it is asked.
  address @1 :Text;
}

struct KnownDivision {
  zone @0 :Text;
  # As the store holds it.
  division @1 :Text;
}

# The newest record that a host knows of an availability zone's evacuation.
struct ZoneEvacuation {
  zone @0 :Text;
  # Position of the record in the operators' log.
  position @1 :UInt64;
  isEvacuated @2 :Bool;
}

# What a host tells one that has just started while the store is away.
struct PeerState {
  # The operators' manifest as the store holds it; empty where it is not known.
  manifest @0 :Data;
  owners @1 :List(KnownOwner);
  divisions @2 :List(KnownDivision);
  evacuations @3 :List(ZoneEvacuation);
}

# A record of a keyed topic of the store.
struct TopicRecord {
  key @0 :Text;
  # Empty if the key was removed.
  value @1 :Data;
  offset @2 :UInt64;
}

# Offset from which a reader of a topic continues.
struct TopicPosition {
  topic @0 :Text;
  next @1 :UInt64;
}

# What an owner knows of a topic beyond a reader's position.
struct TopicUpdate {
  topic @0 :Text;
  # Offset at which the owner's knowledge ends.
  next @1 :UInt64;
  # Time since the store confirmed to the owner that the topic ends there.
  ageMs @2 :UInt64;
  # Newest record of each key from the reader's position on; left out if they are too large.
  records @3 :List(TopicRecord);
}

# Executors of a zone that changed after a version of the zone reader's list.
struct ZoneExecutors {
  version @0 :UInt64;
  # Time since the store's entries were last read.
  ageMs @1 :UInt64;
  listed @2 :List(PoolExecutor);
  unlisted @3 :List(Text);
  # Whether these are all executors of the zone, so that all others are unlisted.
  isComplete @4 :Bool;
}

# Served by every host; one that owns no pool answers so.
interface PoolPort {
  # The offer is left out by hosts that can't own the pool, the transfer for all but the successor. The
  # connection is a number that the entry host gives to each connection that it opens. The stamp is the
  # owner's clock when it answered; the next heartbeat on the connection returns it with the time for which
  # the entry host has held it. 0 before the first answer.
  heartbeat @0 (life :UInt64, pool :Text, offer :SuccessorOffer, evacuations :List(ZoneEvacuation), connection :UInt64, stampUs :UInt64, heldUs :UInt64) -> (isOwner :Bool, session :UInt64, load :PoolLoad, transfer :OwnershipTransfer, evacuations :List(ZoneEvacuation), stampUs :UInt64);
  run @1 (life :UInt64, pool :Text, session :UInt64, job :PoolJob) -> (end :PoolEnd, load :PoolLoad);
  cancel @2 (life :UInt64, pool :Text, job :UInt64, submission :UInt64) -> ();
  # Asked by the pool's next owner until nothing is held any more; the token is the next owner's.
  release @3 (pool :Text, token :UInt64) -> (isOwner :Bool, held :List(Text));
  # Asked by a host that has just started and can't read the store.
  peerState @4 () -> (state :PeerState);
  # Answered when a topic goes on behind its position, at the latest after the wait.
  followTopics @5 (positions :List(TopicPosition), waitMs :UInt64) -> (isOwner :Bool, updates :List(TopicUpdate));
  # Asked by the owners of the zone's other pools. Versions are counted by one reader; its token tells
  # readers apart. Both are 0 if no list is known.
  zoneExecutors @6 (zone :Text, token :UInt64, version :UInt64) -> (isReader :Bool, token :UInt64, executors :ZoneExecutors);
}
