//! Numbered result codes, shared by all processes and commands.
//!
//! The first digit indicates the outcome: 1 complete, 2 failed, 3 not run, 4 unknown; 5 marks
//! errors of processes and commands. docs/RESULT-CODES.md is generated from this table; a test
//! checks that the page is up to date.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::outcome::Outcome;

macro_rules! result_codes {
    ($( $number:literal $name:ident $http:literal $text:literal; )*) => {
        /// Numbered result of a request, process or command.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(into = "u16", try_from = "u16")]
        #[repr(u16)]
        pub enum ResultCode {
            $( #[doc = $text] $name = $number, )*
        }

        impl ResultCode {
            /// All codes, in ascending order of their numbers.
            pub const ALL: &'static [ResultCode] = &[$( ResultCode::$name, )*];

            /// Returns the HTTP status sent with the code, or 0 for codes that callers never
            /// receive.
            pub fn http_status(self) -> u16 {
                match self { $( ResultCode::$name => $http, )* }
            }

            /// Returns a sentence that explains the code.
            pub fn text(self) -> &'static str {
                match self { $( ResultCode::$name => $text, )* }
            }
        }

        impl TryFrom<u16> for ResultCode {
            type Error = String;

            fn try_from(number: u16) -> Result<Self, String> {
                match number {
                    $( $number => Ok(ResultCode::$name), )*
                    _ => Err(format!("{number} is not a result code")),
                }
            }
        }
    };
}

result_codes! {
    1000 Complete 200 "Every task ran; the answer holds every result.";
    2001 TaskFailed 502 "An upstream ran a task and reported that it failed.";
    2002 LeaseLapsed 502 "An upstream stopped a task because its lease lapsed.";
    2003 Cancelled 409 "The caller cancelled after a task had started; the rest was stopped.";
    2004 DeadlinePassed 504 "The deadline passed after a task had started; the rest was stopped.";
    2005 ResultTooLarge 502 "A task's result is larger than the entry host keeps.";
    2006 NeverRuns 502 "The job failed on several healthy workers and is held to be unable to run.";
    2007 PartlyRefused 502 "A task was refused or ran out of time after others had run; the job failed as a whole.";
    3001 CancelledUnstarted 409 "The caller cancelled before any task had started.";
    3002 DeadlineOutOfReach 503 "No upstream could finish it before its deadline.";
    3003 Overloaded 503 "The class's share of the queue is full.";
    3004 PlatformUnavailable 503 "The platform's log can't be reached and the submission may not run without a claim.";
    3005 Draining 503 "This entry host is stopping.";
    3006 NoUpstream 503 "No upstream of the class is live.";
    3007 ExpiredInQueue 503 "The deadline passed before any task had started.";
    3008 EntryFull 503 "The entry host's memory for jobs is full.";
    3009 NotReady 503 "The entry host does not know its configuration or its executors yet.";
    3010 RefusedByUpstream 503 "Upstreams refused every task before starting it.";
    3101 BadRequest 400 "The request can't be read.";
    3102 UnknownClass 404 "No class of that name is configured.";
    3103 TaskCount 400 "A submission has 1 to 550 tasks.";
    3104 BodyTooLarge 413 "The body is larger than the entry host takes.";
    3105 OtherContent 409 "The submission id was used with other content.";
    3106 NoSuchPath 404 "The address has no such path or method.";
    3107 TooSlow 408 "The request's header or body took too long to arrive.";
    3108 TooManyConnections 503 "The address serves as many connections as it may.";
    4001 HolderUnreachable 504 "Another entry host holds the submission and can't be reached.";
    4002 HolderGone 504 "The entry host that held the submission is gone.";
    4003 ConnectionLost 504 "The connection to an upstream broke after a task may have started.";
    4004 UpstreamSilent 504 "The time ran out, or an upstream stopped answering, after a task may have started.";
    4005 IdTooOld 410 "The submission id is past the horizon: whether an earlier copy ran is no longer known; this copy was not started.";
    4006 IdFromFuture 409 "The submission id's time lies ahead of this host's clock; this copy was not started.";
    4007 AnswerDropped 410 "The answer was given once and is no longer kept.";
    4008 NotKnownHere 404 "This entry host knows no such submission.";
    4009 EarlierCopyOpen 504 "Whether an earlier copy of the submission ran can't be told; this copy was not started.";
    4010 CancelledInDoubt 504 "The caller cancelled while a task may have been running.";
    4011 StoppedInDoubt 504 "The entry host stopped before the outcome was known; a task may have run.";
    5001 SettingsUnreadable 0 "The settings file can't be read.";
    5002 SettingsInvalid 0 "The settings hold a wrong value.";
    5003 AddressInUse 0 "An address can't be opened.";
    5004 ServiceMissing 0 "A service that another one needs is not registered.";
    5005 ServiceFailed 0 "A service failed to start.";
    5006 PlatformRefused 0 "The platform refused the call.";
    5007 PlatformUnreachable 0 "The platform can't be reached.";
    5008 ChangeRaced 0 "The change was based on an older revision and was not accepted.";
    5009 ChangeInvalid 0 "The change breaks the rules for targets.";
    5010 ChangeUndecided 0 "It can't yet be told whether the change was accepted.";
    5011 PeerUnreachable 0 "A process can't be reached on its admin address.";
    5012 BadMessage 0 "A message between processes can't be read.";
    5013 RecordIgnored 0 "A record on the log can't be read and was ignored.";
    5014 Usage 0 "The command line is wrong.";
    5015 NotInForceYet 0 "What was asked for is under way, but not finished everywhere yet.";
}

impl ResultCode {
    /// Returns the four-digit number of the code.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Returns the outcome that the code implies, or `None` for errors of processes and commands.
    pub fn outcome(self) -> Option<Outcome> {
        match self.number() / 1000 {
            1 => Some(Outcome::Complete),
            2 => Some(Outcome::Failed),
            3 => Some(Outcome::NotRun),
            4 => Some(Outcome::Unknown),
            _ => None,
        }
    }
}

impl From<ResultCode> for u16 {
    fn from(code: ResultCode) -> u16 {
        code.number()
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.number())
    }
}
