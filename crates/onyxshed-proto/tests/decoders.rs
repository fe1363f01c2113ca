//! Any bytes are decoded or rejected without a panic, and encoded messages decode to the same value.

use std::net::SocketAddr;

use capnp::message::{Builder, HeapAllocator, ReaderOptions};
use capnp::serialize;
use onyxshed_core::{ChangeId, ClassTarget, Hlc, Incarnation, Millis, Offset, Revision, UnixMs};
use onyxshed_policy::ExecutorInfo;
use onyxshed_proto::onyxshed_capnp as schema;
use onyxshed_proto::{EntryStatus, ExecutorEntry, Snapshot, gossip, handover, snapshot, status};
use onyxshed_state::member::Gossip;
use onyxshed_state::{Config, Handover, Heartbeat, LoadDigest, Member, MemberState};
use proptest::collection::vec;
use proptest::prelude::*;
use ulid::Ulid;

fn name<T>() -> impl Strategy<Value = T>
where
    T: std::str::FromStr + std::fmt::Debug,
    T::Err: std::fmt::Debug,
{
    "[a-z0-9][a-z0-9._-]{0,20}".prop_map(|text| text.parse().expect("the text is a valid name"))
}

fn address() -> impl Strategy<Value = SocketAddr> {
    (any::<std::net::IpAddr>(), any::<u16>()).prop_map(SocketAddr::from)
}

fn hlc() -> impl Strategy<Value = Hlc> {
    (any::<u64>(), any::<u32>()).prop_map(|(wall, counter)| Hlc {
        wall: UnixMs(wall),
        counter,
    })
}

fn load() -> impl Strategy<Value = LoadDigest> {
    any::<(u32, u32)>().prop_map(|(running_tasks, queued_tasks)| LoadDigest {
        running_tasks,
        queued_tasks,
    })
}

fn config() -> impl Strategy<Value = Config> {
    let target = (name(), name(), 1..86_400_000_u64, any::<bool>()).prop_map(
        |(class, upstream, within, may_run_twice)| ClassTarget {
            class,
            upstream,
            finish_within_ms: Millis(within),
            may_run_twice,
        },
    );
    let valid = target.prop_filter("valid targets", |target| target.check().is_ok());
    (any::<u64>(), vec(valid, 0..4)).prop_map(|(revision, targets)| {
        let classes = targets
            .into_iter()
            .map(|target| (target.class.clone(), target));
        Config {
            revision: Revision(revision),
            classes: classes.collect(),
        }
    })
}

fn executor() -> impl Strategy<Value = ExecutorEntry> {
    let parts = (
        name(),
        name(),
        name(),
        "[a-z0-9-]{0,9}",
        any::<u32>(),
        any::<bool>(),
        address(),
    );
    parts.prop_map(
        |(name, upstream, zone, rack, slots, is_draining, address)| ExecutorEntry {
            info: ExecutorInfo {
                name,
                upstream,
                zone,
                rack: rack.into(),
                slots,
                is_draining,
            },
            address,
        },
    )
}

fn member() -> impl Strategy<Value = Member> {
    let state = prop_oneof![
        Just(MemberState::Live),
        Just(MemberState::Suspect),
        Just(MemberState::Gone),
    ];
    (name(), name(), any::<u64>(), address(), state).prop_map(
        |(host, zone, incarnation, peer_address, state)| Member {
            host,
            zone,
            incarnation: Incarnation(incarnation),
            peer_address,
            state,
        },
    )
}

fn full_snapshot() -> impl Strategy<Value = Snapshot> {
    let lists = (
        proptest::option::of(config()),
        proptest::option::of(vec(executor(), 0..4)),
        vec(member(), 0..4),
        vec(any::<u64>(), 0..4),
    );
    (lists, any::<(u32, u32)>(), hlc()).prop_map(|(lists, (zone_hosts, live_hosts), hlc)| {
        let (config, executors, members, gone) = lists;
        Snapshot {
            config,
            executors,
            members,
            gone: gone.into_iter().map(Incarnation).collect(),
            zone_hosts,
            live_hosts,
            hlc,
        }
    })
}

fn entry_status() -> impl Strategy<Value = EntryStatus> {
    let numbers = any::<(u64, Option<u64>, u64, bool)>();
    (name(), address(), load(), numbers, hlc()).prop_map(
        |(host, peer_address, load, (incarnation, revision, started, is_draining), hlc)| {
            EntryStatus {
                host,
                incarnation: Incarnation(incarnation),
                peer_address,
                config_revision: revision.map(Revision),
                load,
                is_draining,
                started_at_ms: UnixMs(started),
                hlc,
            }
        },
    )
}

fn heartbeat() -> impl Strategy<Value = Heartbeat> {
    let numbers = any::<(u64, u64, u64, u64, bool)>();
    (name(), name(), address(), address(), load(), numbers).prop_map(
        |(host, zone, control_address, peer_address, load, numbers)| {
            let (incarnation, started, counter, revision, is_draining) = numbers;
            Heartbeat {
                host,
                zone,
                incarnation: Incarnation(incarnation),
                started_at_ms: UnixMs(started),
                control_address,
                peer_address,
                counter,
                load,
                config_revision: Revision(revision),
                is_draining,
            }
        },
    )
}

fn gossip_message() -> impl Strategy<Value = Gossip> {
    (heartbeat(), vec(heartbeat(), 0..4), any::<Option<u64>>()).prop_map(|(from, others, gone)| {
        Gossip {
            from,
            others,
            gone: gone.map(Incarnation),
        }
    })
}

fn config_handover() -> impl Strategy<Value = Handover> {
    let changes = vec(any::<u128>(), 0..4);
    let numbers = any::<(u64, Option<u64>, bool)>();
    (config(), changes, numbers).prop_map(|(config, changes, (folded_to, needed, is_complete))| {
        Handover {
            config,
            folded_to: Offset(folded_to),
            recent_changes: changes.into_iter().map(|id| ChangeId(Ulid(id))).collect(),
            needed_since: needed.map(UnixMs),
            is_complete,
        }
    })
}

/// Decodes bytes as each kind of message; fails only by a panic.
fn decode_all(bytes: &[u8]) {
    let Ok(message) = serialize::read_message(bytes, ReaderOptions::new()) else {
        return;
    };
    let _ = message
        .get_root::<schema::snapshot::Reader<'_>>()
        .map(snapshot::read);
    let _ = message
        .get_root::<schema::entry_status::Reader<'_>>()
        .map(status::read);
    let _ = message
        .get_root::<schema::gossip::Reader<'_>>()
        .map(gossip::read);
    let _ = message
        .get_root::<schema::handover::Reader<'_>>()
        .map(handover::read);
}

fn encode(fill: impl FnOnce(&mut Builder<HeapAllocator>)) -> Vec<u8> {
    let mut message = Builder::new_default();
    fill(&mut message);
    serialize::write_message_to_words(&message)
}

fn snapshot_bytes(from: &Snapshot) -> Vec<u8> {
    encode(|message| snapshot::write(from, message.init_root()))
}

proptest! {
    #[test]
    fn arbitrary_bytes_decode_or_return_error(bytes in vec(any::<u8>(), 0..400)) {
        decode_all(&bytes);
        // The same bytes after a valid frame header, so that the content of the message is decoded
        // too.
        let words = u32::try_from(bytes.len() / 8).unwrap();
        let framed = [&0_u32.to_le_bytes(), &words.to_le_bytes(), &bytes[..]].concat();
        decode_all(&framed);
    }

    #[test]
    fn corrupted_messages_decode_or_return_error(
        from in full_snapshot(),
        corruptions in vec(any::<(prop::sample::Index, u8)>(), 1..6),
    ) {
        let mut bytes = snapshot_bytes(&from);
        for (at, byte) in corruptions {
            let position = at.index(bytes.len());
            bytes[position] = byte;
        }
        decode_all(&bytes);
    }

    #[test]
    fn snapshots_and_statuses_round_trip(from in full_snapshot(), reported in entry_status()) {
        let mut message = Builder::new_default();
        snapshot::write(&from, message.init_root());
        let read = snapshot::read(message.get_root_as_reader().unwrap());
        prop_assert_eq!(read.unwrap(), from);
        let mut message = Builder::new_default();
        status::write(&reported, message.init_root());
        let read = status::read(message.get_root_as_reader().unwrap());
        prop_assert_eq!(read.unwrap(), reported);
    }

    #[test]
    fn gossip_and_handovers_round_trip(from in gossip_message(), stamp in hlc(), sent in config_handover()) {
        let mut message = Builder::new_default();
        gossip::write(&from, stamp, message.init_root());
        let read = gossip::read(message.get_root_as_reader().unwrap());
        prop_assert_eq!(read.unwrap(), (from, stamp));
        let mut message = Builder::new_default();
        handover::write(&sent, message.init_root());
        let read = handover::read(message.get_root_as_reader().unwrap());
        prop_assert_eq!(read.unwrap(), sent);
    }
}
