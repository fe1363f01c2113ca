//! The tables of all fields: the check and docs/SETTINGS.md both come from here.

use crate::field::{Fallback, Field, Kind, Role, Unit};

/// An hour, in milliseconds.
const HOUR_MS: u64 = 3_600_000;

/// A mebibyte, in bytes.
const MIB: u64 = 1 << 20;

const fn name(name: &'static str, text: &'static str) -> Field {
    Field {
        name,
        kind: Kind::Name,
        fallback: Fallback::Required,
        text,
    }
}

const fn address(name: &'static str, role: Role, text: &'static str) -> Field {
    Field {
        name,
        kind: Kind::Address(role),
        fallback: Fallback::Required,
        text,
    }
}

/// Where peers are told to connect, if that is not where the process listens.
const PEER_ADVERTISED: Field = Field {
    name: "peer_advertised_address",
    kind: Kind::Address(Role::Dial),
    fallback: Fallback::Absent,
    text: "Told to peers in place of `peer_address`, where something stands between, such as address translation.",
};

const fn number(
    name: &'static str,
    unit: Unit,
    range: (u64, u64),
    default: u64,
    text: &'static str,
) -> Field {
    let (min, max) = range;
    Field {
        name,
        kind: Kind::Number { unit, min, max },
        fallback: Fallback::Number(default),
        text,
    }
}

const fn span(name: &'static str, range: (u64, u64), default: u64, text: &'static str) -> Field {
    number(name, Unit::Milliseconds, range, default, text)
}

const fn count(name: &'static str, range: (u64, u64), default: u64, text: &'static str) -> Field {
    number(name, Unit::Count, range, default, text)
}

const fn size(name: &'static str, range: (u64, u64), default: u64, text: &'static str) -> Field {
    number(name, Unit::Bytes, range, default, text)
}

const fn choice(
    name: &'static str,
    words: &'static [&'static str],
    default: &'static str,
    text: &'static str,
) -> Field {
    Field {
        name,
        kind: Kind::Choice(words),
        fallback: Fallback::Word(default),
        text,
    }
}

const LOG_FIELDS: &[Field] = &[
    choice(
        "format",
        &["human", "json"],
        "human",
        "How log lines are written on standard error.",
    ),
    choice(
        "level",
        &["debug", "info", "warn", "error"],
        "info",
        "The quietest level that is logged; the time line keeps every event.",
    ),
];

const LOG: Field = Field {
    name: "log",
    kind: Kind::Section(LOG_FIELDS),
    fallback: Fallback::Empty,
    text: "The log.",
};

const HOST: Field = name("host", "Name of this entry host.");
const ZONE: Field = name("zone", "Availability zone of this entry host.");
const PLATFORM: Field = address(
    "platform_address",
    Role::Dial,
    "The platform's service: log and host list.",
);
const ADMIN: Field = address(
    "admin_address",
    Role::Listen,
    "Serves metrics, health, time line and status to operators.",
);
const DRAIN_TIMEOUT: Field = span(
    "drain_timeout_ms",
    (0, HOUR_MS),
    30_000,
    "Longest wait at SIGTERM for the work in flight.",
);
const TIMELINE: Field = count(
    "timeline_events_max",
    (100, 1_000_000),
    50_000,
    "Events kept for the time line, 170 bytes each and at most 700 with long texts; the oldest are dropped and counted.",
);
const RETENTION: Field = span(
    "platform_retention_ms",
    (1_000, 720 * HOUR_MS),
    HOUR_MS,
    "How long the platform's log keeps records; must be the platform's own figure.",
);

/// Fields of a file for `onyxshed-entry`.
pub const ENTRY: &[Field] = &[
    HOST,
    ZONE,
    address(
        "caller_address",
        Role::Listen,
        "Takes callers' requests over HTTP.",
    ),
    address(
        "peer_address",
        Role::Advertise,
        "Takes requests that other entry hosts pass on, over HTTP.",
    ),
    PEER_ADVERTISED,
    address(
        "control_address",
        Role::Listen,
        "Takes the connection of this host's control process.",
    ),
    ADMIN,
    PLATFORM,
    LOG,
    DRAIN_TIMEOUT,
    span(
        "horizon_ms",
        (1_000, 24 * HOUR_MS),
        600_000,
        "Submission ids older than this are refused; with the skew, less than half of the log's retention.",
    ),
    span(
        "skew_ms",
        (0, 60_000),
        2_000,
        "Most that the wall clocks of two hosts or callers differ.",
    ),
    RETENTION,
    number(
        "log_appends_per_s",
        Unit::PerSecond,
        (1, 100_000),
        240,
        "Appends a second that all entry hosts together may make for claims.",
    ),
    span(
        "claim_patience_ms",
        (1, 60_000),
        2_000,
        "How long a submission waits for its claim to be read back before it is given up.",
    ),
    span(
        "lease_slack_ms",
        (0, 60_000),
        100,
        "How long a task's lease runs past its job's deadline.",
    ),
    count(
        "connections_max",
        (1, 65_536),
        4_096,
        "Connections that callers may hold open together.",
    ),
    size(
        "body_max_bytes",
        (1_024, 64 * MIB),
        8 * MIB,
        "Largest body that a caller may send.",
    ),
    count(
        "jobs_max",
        (1, 10_000_000),
        100_000,
        "Jobs remembered, running and answered together.",
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
        "Connections that this entry host holds open to one executor.",
    ),
    TIMELINE,
    choice(
        "placement",
        &["least-expected-finish", "round-robin", "least-outstanding"],
        "least-expected-finish",
        "How executors are chosen; the others are for comparison in experiments only.",
    ),
    span(
        "head_timeout_ms",
        (10, 600_000),
        5_000,
        "How long a request's head may take from its first byte.",
    ),
    span(
        "body_timeout_ms",
        (10, 600_000),
        10_000,
        "How long a request's body may take.",
    ),
    span(
        "idle_timeout_ms",
        (10, 60_000),
        60_000,
        "How long a caller's connection may idle.",
    ),
];

/// Fields of a file for `onyxshed-control`.
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
        "Takes other control processes' messages.",
    ),
    PEER_ADVERTISED,
    ADMIN,
    PLATFORM,
    Field {
        name: "peers",
        kind: Kind::Addresses(Role::Seed),
        fallback: Fallback::Empty,
        text: "Peer addresses of some other control processes, to find the rest when the platform can't be reached.",
    },
    span(
        "heartbeat_ms",
        (10, 60_000),
        500,
        "How often peers hear from this process.",
    ),
    span(
        "suspect_after_ms",
        (20, 600_000),
        2_500,
        "Silence after which a peer is suspected; at least twice the heartbeat.",
    ),
    span(
        "gone_after_ms",
        (30, HOUR_MS),
        10_000,
        "Silence after which a peer's incarnation is held to be gone; more than `suspect_after_ms`.",
    ),
    RETENTION,
    LOG,
    TIMELINE,
    DRAIN_TIMEOUT,
];

const PROCESS_FIELDS: &[Field] = &[
    name("name", "What the time line calls the process."),
    address(
        "admin_address",
        Role::Dial,
        "The process's `admin_address`.",
    ),
];

/// Fields of a file for the command line `onyxshed`.
pub const OPERATOR: &[Field] = &[
    PLATFORM,
    Field {
        name: "processes",
        kind: Kind::Sections(PROCESS_FIELDS),
        fallback: Fallback::Empty,
        text: "Every process that `status` and `timeline` ask.",
    },
];
