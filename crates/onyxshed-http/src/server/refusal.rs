//! What a server refuses, and the limit because of which it does.

use std::rc::Rc;

use onyxshed_core::ResultCode;

/// A limit of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Limit {
    /// The connections that are served.
    Connections,
    /// The connections that are served and those that are rejected: one was closed at once.
    Rejections,
    /// The connections that are served: an idle one was ended for another.
    IdleConnection,
    /// The connections that are served: a request that arrived slowly was given up for another connection.
    SlowRequest,
    /// The memory of bodies: a body that arrived slowly was given up for another one.
    SlowBody,
    /// The memory of bodies.
    BodyMemory,
    /// The memory of replies.
    ReplyMemory,
    /// The size of a body or a head.
    RequestSize,
    /// The time within which a head or a body has to arrive.
    ReceiveTime,
}

impl Limit {
    /// All limits.
    pub const ALL: [Limit; 9] = [
        Limit::Connections,
        Limit::Rejections,
        Limit::IdleConnection,
        Limit::SlowRequest,
        Limit::SlowBody,
        Limit::BodyMemory,
        Limit::ReplyMemory,
        Limit::RequestSize,
        Limit::ReceiveTime,
    ];

    /// Returns the name of the limit, as logs and metrics show it.
    pub fn name(self) -> &'static str {
        match self {
            Limit::Connections => "connections",
            Limit::Rejections => "rejections",
            Limit::IdleConnection => "idle_connection",
            Limit::SlowRequest => "slow_request",
            Limit::SlowBody => "slow_body",
            Limit::BodyMemory => "body_memory",
            Limit::ReplyMemory => "reply_memory",
            Limit::RequestSize => "request_size",
            Limit::ReceiveTime => "receive_time",
        }
    }

    /// Returns the limit that leads to a result code, if there is only one.
    pub(super) fn of_code(code: ResultCode) -> Option<Limit> {
        match code {
            ResultCode::TooManyConnections => Some(Limit::Connections),
            ResultCode::EntryFull => Some(Limit::BodyMemory),
            ResultCode::BodyTooLarge => Some(Limit::RequestSize),
            ResultCode::TooSlow => Some(Limit::ReceiveTime),
            _ => None,
        }
    }
}

/// A request or a connection that a server refuses itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The result code of the reply.
    pub code: ResultCode,
    /// The limit that was met; `None` if the request can't be read or the server is stopping.
    pub limit: Option<Limit>,
}

impl Refusal {
    /// Creates the refusal that a result code stands for.
    pub(super) fn of_code(code: ResultCode) -> Self {
        Refusal {
            code,
            limit: Limit::of_code(code),
        }
    }

    /// Creates the refusal of a request, or of the connection of the next one, that was given up for
    /// another because of `code`.
    pub(super) fn of_eviction(code: ResultCode, has_begun: bool) -> Self {
        let limit = match (code, has_begun) {
            (ResultCode::EntryFull, _) => Limit::SlowBody,
            (_, true) => Limit::SlowRequest,
            (_, false) => Limit::IdleConnection,
        };
        Refusal::at(limit, code)
    }

    /// Creates a refusal because of a limit.
    pub(super) fn at(limit: Limit, code: ResultCode) -> Self {
        Refusal {
            code,
            limit: Some(limit),
        }
    }
}

/// A function that is told every refusal of a server.
pub type RefusalReporter = Rc<dyn Fn(Refusal)>;
