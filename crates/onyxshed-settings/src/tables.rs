//! The tables of all fields, from which both the check and docs/SETTINGS.md are derived.

use crate::field::{Fallback, Field, FieldKind, Role, Unit};

/// An hour, in milliseconds.
const HOUR_MS: u64 = 3_600_000;

/// A mebibyte, in bytes.
const MIB: u64 = 1 << 20;

const fn name(name: &'static str, description: &'static str) -> Field {
    Field {
        name,
        kind: FieldKind::Name,
        fallback: Fallback::Required,
        description,
    }
}

const fn address(name: &'static str, role: Role, description: &'static str) -> Field {
    Field {
        name,
        kind: FieldKind::Address(role),
        fallback: Fallback::Required,
        description,
    }
}

/// The address that peers connect to, if it differs from the address the process listens on.
const PEER_ADVERTISED: Field = Field {
    name: "peer_advertised_address",
    kind: FieldKind::Address(Role::Dial),
    fallback: Fallback::Absent,
    description: "Sent to peers in place of `peer_address`, if they must connect to another address, for instance because of address translation.",
};

const fn number(
    name: &'static str,
    unit: Unit,
    range: (u64, u64),
    default: u64,
    description: &'static str,
) -> Field {
    let (min, max) = range;
    Field {
        name,
        kind: FieldKind::Number { unit, min, max },
        fallback: Fallback::Number(default),
        description,
    }
}

const fn duration(
    name: &'static str,
    range: (u64, u64),
    default: u64,
    description: &'static str,
) -> Field {
    number(name, Unit::Milliseconds, range, default, description)
}

const fn count(
    name: &'static str,
    range: (u64, u64),
    default: u64,
    description: &'static str,
) -> Field {
    number(name, Unit::Count, range, default, description)
}

const fn size(
    name: &'static str,
    range: (u64, u64),
    default: u64,
    description: &'static str,
) -> Field {
    number(name, Unit::Bytes, range, default, description)
}

const fn choice(
    name: &'static str,
    words: &'static [&'static str],
    default: &'static str,
    description: &'static str,
) -> Field {
    Field {
        name,
        kind: FieldKind::Choice(words),
        fallback: Fallback::Word(default),
        description,
    }
}

const LOG_FIELDS: &[Field] = &[
    choice(
        "format",
        &["human", "json"],
        "human",
        "Format of the log lines on standard error.",
    ),
    choice(
        "level",
        &["debug", "info", "warn", "error"],
        "info",
        "Lowest level that is logged; the time line keeps every event.",
    ),
];

const LOG: Field = Field {
    name: "log",
    kind: FieldKind::Section(LOG_FIELDS),
    fallback: Fallback::Empty,
    description: "Settings of the log.",
};

const HOST: Field = name("host", "Name of this entry host.");
const ZONE: Field = name("zone", "Availability zone of this entry host.");
const PLATFORM: Field = address(
    "platform_address",
    Role::Dial,
    "Address of the platform's service: log and host list.",
);
const ADMIN: Field = address(
    "admin_address",
    Role::Listen,
    "Address on which metrics, health, time line and status are served to operators.",
);
const DRAIN_TIMEOUT: Field = duration(
    "drain_timeout_ms",
    (0, HOUR_MS),
    30_000,
    "Longest time to wait for work in flight after SIGTERM.",
);
const TIMELINE: Field = count(
    "timeline_events_max",
    (100, 1_000_000),
    50_000,
    "Largest number of events kept in the time line. An event takes 170 bytes, at most 700 with long texts. The oldest are dropped and counted.",
);
const RETENTION: Field = duration(
    "platform_retention_ms",
    (1_000, 720 * HOUR_MS),
    HOUR_MS,
    "How long the platform's log keeps records; must equal the platform's own setting.",
);

/// Fields of the settings of `onyxshed-entry`.
pub const ENTRY: &[Field] = &[
    HOST,
    ZONE,
    address(
        "caller_address",
        Role::Listen,
        "Address on which callers send requests over HTTP.",
    ),
    address(
        "peer_address",
        Role::Advertise,
        "Address on which other entry hosts forward requests over HTTP.",
    ),
    PEER_ADVERTISED,
    address(
        "control_address",
        Role::Listen,
        "Address on which this host's control process connects.",
    ),
    ADMIN,
    PLATFORM,
    LOG,
    DRAIN_TIMEOUT,
    duration(
        "horizon_ms",
        (1_000, 24 * HOUR_MS),
        600_000,
        "Submission ids older than this are rejected; together with `skew_ms`, less than half of the log's retention.",
    ),
    duration(
        "skew_ms",
        (0, 60_000),
        2_000,
        "Largest difference between the wall clocks of two hosts or callers.",
    ),
    RETENTION,
    number(
        "log_appends_per_s",
        Unit::PerSecond,
        (1, 100_000),
        240,
        "Appends per second that all entry hosts together may make for claims.",
    ),
    duration(
        "claim_patience_ms",
        (1, 60_000),
        2_000,
        "How long a submission waits for its claim to be read back before it is abandoned.",
    ),
    duration(
        "lease_slack_ms",
        (0, 60_000),
        100,
        "How long a task's lease extends past its job's deadline.",
    ),
    count(
        "connections_max",
        (1, 65_536),
        4_096,
        "Largest number of connections that all callers together may hold open.",
    ),
    size(
        "body_max_bytes",
        (1_024, 64 * MIB),
        8 * MIB,
        "Largest body of a caller's request.",
    ),
    count(
        "jobs_max",
        (1, 10_000_000),
        100_000,
        "Largest number of jobs kept, running and answered together.",
    ),
    size(
        "answers_max_bytes",
        (MIB, 65_536 * MIB),
        256 * MIB,
        "Memory for the results of answered jobs; the oldest are dropped first.",
    ),
    size(
        "result_max_bytes",
        (1, 64 * MIB),
        MIB,
        "Largest result of one task; a larger one fails its job.",
    ),
    count(
        "connections_per_executor",
        (1, 60),
        16,
        "Largest number of connections that this entry host holds open to one executor.",
    ),
    TIMELINE,
    choice(
        "placement",
        &["least-expected-finish", "round-robin", "least-outstanding"],
        "least-expected-finish",
        "Rule by which executors are selected for tasks; all but the default are for comparison in experiments only.",
    ),
    choice(
        "caller_shares",
        &["off", "address"],
        "off",
        "Whether the share of a class is divided among its callers while an upstream is short of room, and what identifies a caller: the address of its connection. Callers behind one address share a part.",
    ),
    choice(
        "return_plan",
        &["off", "on"],
        "off",
        "Whether callers that are refused for want of room are told a time at which there will be room for them, up to 10 s ahead. Otherwise the time follows from the deadline that would be missed.",
    ),
    duration(
        "head_timeout_ms",
        (10, 600_000),
        5_000,
        "Time limit for a request's head, from its first byte.",
    ),
    duration(
        "body_timeout_ms",
        (10, 600_000),
        10_000,
        "Time limit for a request's body.",
    ),
    duration(
        "idle_timeout_ms",
        (10, 60_000),
        60_000,
        "How long a caller's connection may be idle.",
    ),
];

/// Fields of the settings of `onyxshed-control`.
pub const CONTROL: &[Field] = &[
    HOST,
    ZONE,
    address(
        "entry_control_address",
        Role::Dial,
        "The `control_address` of this host's entry process.",
    ),
    address(
        "peer_address",
        Role::Advertise,
        "Address on which other control processes connect.",
    ),
    PEER_ADVERTISED,
    ADMIN,
    PLATFORM,
    Field {
        name: "peers",
        kind: FieldKind::Addresses(Role::Seed),
        fallback: Fallback::Empty,
        description: "Peer addresses of some other control processes, used to find the rest while the platform can't be reached.",
    },
    duration(
        "heartbeat_ms",
        (10, 60_000),
        500,
        "Interval between heartbeats to peers.",
    ),
    duration(
        "suspect_after_ms",
        (20, 600_000),
        2_500,
        "Time without contact after which a peer is suspected; at least twice `heartbeat_ms`.",
    ),
    duration(
        "gone_after_ms",
        (30, HOUR_MS),
        10_000,
        "Time without contact after which a peer's incarnation is declared gone; more than `suspect_after_ms`.",
    ),
    RETENTION,
    LOG,
    TIMELINE,
    DRAIN_TIMEOUT,
];

const PROCESS_FIELDS: &[Field] = &[
    name("name", "Name of the process in the time line."),
    address(
        "admin_address",
        Role::Dial,
        "The process's `admin_address`.",
    ),
];

/// Fields of the settings of the command line `onyxshed`.
pub const OPERATOR: &[Field] = &[
    PLATFORM,
    Field {
        name: "processes",
        kind: FieldKind::Sections(PROCESS_FIELDS),
        fallback: Fallback::Empty,
        description: "All processes that `status` and `timeline` query.",
    },
];
