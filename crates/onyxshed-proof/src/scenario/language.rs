//! The statements of the scenario language as parsed values.

use onyxshed_core::{ClassName, Millis, Offset, Outcome, Revision};
use onyxshed_standins::faults::Mode;
use smol_str::SmolStr;

use crate::cluster::{Edge, ProcessKind, Topology};

/// A parsed scenario.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Script {
    /// The statements in the order of the file.
    pub lines: Vec<Line>,
}

/// A statement and its line in the file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// Line number in the file, counted from 1; blank lines and comments count as well.
    pub number: usize,
    /// The line as written, with its indentation.
    pub text: SmolStr,
    /// The parsed statement.
    pub step: Step,
}

/// One statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// `given …`: replaces a default of the cluster's options.
    Given(Setting),
    /// `start …`: starts the cluster.
    Start(Topology),
    /// `publish …`: publishes a class target with the operator's command.
    Publish(Publication),
    /// `append …`: appends a change to the log that the operator's command would reject.
    Append(Publication),
    /// `bind …`: binds a job's id to an entry host, so that only this host may start the job.
    Bind(Jobs, SmolStr),
    /// `submit …` and `resubmit …`: submits jobs.
    Submit(Submit),
    /// `cancel …`: cancels jobs at an entry host.
    Cancel(Jobs, SmolStr),
    /// `fetch …`: fetches the answers of jobs from an entry host.
    Fetch(Jobs, SmolStr),
    /// `wait until …`: waits until a condition is met.
    Wait(Condition),
    /// `let … pass`: waits for a fixed time. Only meant for scenarios that depend on the duration of
    /// a fault.
    Pass(Millis),
    /// `kill`, `restart`, `freeze`, `thaw` and `stop`: controls processes.
    Signal(Action, Target),
    /// `cut`, `hold`, `blackhole`, `stall`, `delay`, `drop answers on`, `break off` and `heal`: sets
    /// what the proxy does with the connections of an edge.
    Network(Mode, Edge),
    /// `platform …`: sets the faults of the platform.
    Platform(PlatformFault),
    /// `executor …`: sets the faults or the state of an executor.
    Executor(SmolStr, ExecutorFault),
    /// `host … is no longer listed` and `host … is listed`: removes a host from the host list or adds
    /// it.
    ListHost(SmolStr, bool),
    /// `note the starts of executor …`: stores the number of an executor's task starts for a later
    /// expectation.
    Note(SmolStr),
    /// `expect …`: checks an expectation.
    Expect(Expectation),
}

/// An option that `given` sets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Setting {
    /// Number of slots of each executor.
    Slots(u32),
    /// Length limit of each executor's queue, in tasks.
    Queue(u32),
    /// How long the platform's log retains records.
    Retention(Millis),
    /// Delay until readers see a change of the host list.
    HostListLag(Millis),
    /// Age limit of submission ids that entry hosts accept.
    Horizon(Millis),
    /// Largest difference between clocks that entry hosts allow for.
    Skew(Millis),
    /// How long a submission waits for its claim to be decided.
    ClaimPatience(Millis),
    /// Longest duration of a drain.
    DrainTimeout(Millis),
    /// Time without heartbeats after which a peer counts as gone.
    GoneAfter(Millis),
}

/// A class target that an operator publishes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Publication {
    /// Name of the class.
    pub class: ClassName,
    /// Time within which jobs of the class must finish.
    pub within: Millis,
    /// Whether tasks of the class may run twice.
    pub may_run_twice: bool,
    /// The revision on which the change is based, `None` for the current revision of the log.
    pub from: Option<Revision>,
    /// The result that the command must report.
    pub told: PublishResult,
}

/// The result of a publication that the operator's command reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PublishResult {
    /// The change was accepted.
    #[default]
    Accepted,
    /// The change was not accepted because the revision that it is based on is not in force any
    /// more.
    Raced,
    /// The platform can't be reached and nothing was sent.
    Unreachable,
    /// It is not known whether the change was accepted.
    Undecided,
}

impl PublishResult {
    /// Returns the exit code with which the command reports the result.
    pub fn exit_code(self) -> i32 {
        match self {
            PublishResult::Accepted => 0,
            PublishResult::Unreachable => 1,
            PublishResult::Raced => 3,
            PublishResult::Undecided => 4,
        }
    }
}

/// The jobs that a statement applies to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Jobs {
    /// The jobs with these names, which need not have been submitted.
    Named(Vec<SmolStr>),
    /// All jobs that earlier statements have submitted.
    Every,
}

/// The arguments of `submit` and `resubmit`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submit {
    /// The jobs to submit; with new content, a job replaces an earlier one of the same name.
    pub jobs: Jobs,
    /// Whether each job gets new tasks, the tasks sent before, or changed tasks.
    pub content: Content,
    /// The entry hosts to submit to.
    pub to: Receivers,
    /// Whether the caller submits again after "not run" and "unknown" answers, until the job is run.
    pub is_persistent: bool,
}

/// The tasks that a submission sends, and whether they differ from those sent before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Content {
    /// A new job with a new id, which replaces an earlier job of the same name.
    New {
        /// Name of the job's class.
        class: ClassName,
        /// Number of tasks of each submitted job.
        tasks: usize,
        /// Service time of each task.
        service: Millis,
        /// Number of the task that fails, counted from 1; `None` if all succeed.
        failing: Option<usize>,
        /// A deadline that is shorter than the class's target, `None` to use the target.
        deadline: Option<Millis>,
    },
    /// The content that was submitted before.
    Same,
    /// Different content under the id that was submitted before.
    Other,
}

/// The entry hosts to which jobs are submitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Receivers {
    /// Each job is submitted to all of these hosts at the same time.
    Each(Vec<SmolStr>),
    /// Each job is submitted to one of these hosts, in rotation.
    InTurn(Vec<SmolStr>),
}

/// A condition of `wait until`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// At least this many task starts of the jobs were recorded.
    Started(usize, Jobs),
    /// All requests for the jobs have a result; if a host is given, all requests to that host.
    Answered(Jobs, Option<SmolStr>),
    /// This revision of the configuration, or a later one, is in force.
    InForce(Revision, HostScope),
    /// The entry process of the host has exited.
    Ended(SmolStr),
    /// The entry process has read the claims in the log.
    ReadsLog(HostScope),
    /// The entry process knows at least one executor.
    KnowsExecutors(HostScope),
    /// The entry process counts as live every other host whose entry process was not killed.
    KnowsPeers(HostScope),
    /// The platform has accepted at least this many appends to a stream.
    Appended(u64, SmolStr),
}

/// The entry hosts at which a condition or an expectation is checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostScope {
    /// All hosts whose entry process was not killed.
    Everywhere,
    /// The host with this name.
    At(SmolStr),
}

/// An action on a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Sends SIGKILL and waits until the process has exited.
    Kill,
    /// Starts the process again with the same name; the old process is killed if it still runs.
    Restart,
    /// Suspends the process with SIGSTOP.
    Freeze,
    /// Resumes the process with SIGCONT.
    Thaw,
    /// Sends SIGTERM and, for processes of entry hosts, waits until they drain or have exited.
    Stop,
}

/// The processes that an action applies to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// One process of an entry host.
    Part(ProcessKind, SmolStr),
    /// Both processes of an entry host.
    Host(SmolStr),
    /// Both processes of all entry hosts.
    EveryHost,
    /// The stand-in process of the executor with this name.
    Executor(SmolStr),
}

/// A fault of the platform, or its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformFault {
    /// Closes every connection without an answer.
    DownRefusing,
    /// Accepts connections but never answers.
    DownHanging,
    /// Ends all faults.
    Back,
    /// Executes this many of the next appends but loses their answers.
    LosesAnswers(u32),
    /// Drops this many of the next appends without effect and without an answer.
    DropsAppends(u32),
    /// Delays every answer by this time.
    Slow(Millis),
    /// Answers every call with this HTTP status.
    Status(u16),
    /// Shows readers the state as it is now and hides all later appends.
    OutOfDate,
    /// Deletes a stream's records before this offset.
    Forgets(SmolStr, Offset),
}

/// A fault of an executor, or a change of its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutorFault {
    /// Runs tasks but sends no answers.
    Silent,
    /// Fails every task immediately.
    FailsAll,
    /// Rejects every task before it starts.
    RefusesAll,
    /// Multiplies service times by this factor.
    Slows(u32),
    /// Delays every answer by this time.
    Late(Millis),
    /// Answers with the id of another task.
    Foreign,
    /// Closes the connection in the middle of an answer's body.
    BreaksOff,
    /// Ends all faults.
    Recovers,
    /// Reports in its answers that it is leaving.
    Drains,
    /// Is marked as leaving in the host list.
    ListedLeaving,
    /// Is removed from the host list.
    Unlisted,
}

/// A kind of result that a caller's request can have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// An answer with this outcome, whatever its result code is.
    Outcome(Outcome),
    /// The request failed without an answer.
    Lost,
    /// The request failed before any of it was sent, for example because the connection was refused.
    Unreached,
}

/// The number of starts of a task that an expectation allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartCount {
    /// No start or one start.
    AtMostOnce,
    /// One start.
    ExactlyOnce,
}

/// An expectation of `expect`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Expectation {
    /// Every task of the jobs started as often as the count allows.
    EveryTask(Jobs, StartCount),
    /// No task of the jobs started.
    NoTask(Jobs),
    /// At least one task of the jobs started.
    SomeTask(Jobs),
    /// Every result of the requests for the jobs is of one of these kinds; if a host is given, every
    /// result from that host.
    Answers(Jobs, Option<SmolStr>, Vec<AnswerKind>),
    /// Every answer to the requests for the jobs has one of these result codes; if a host is given,
    /// every answer from that host.
    Codes(Jobs, Option<SmolStr>, Vec<u16>),
    /// At least one result of the requests for the jobs is of one of these kinds.
    SomeAnswer(Jobs, Vec<AnswerKind>),
    /// The log's configuration contains the class target, and its revision is in force.
    Target(Publication, HostScope),
    /// Exactly this revision of the configuration is in force.
    Revision(Revision, HostScope),
    /// The entry process of the host exited with this code.
    ExitCode(SmolStr, i32),
    /// The executor started no task since `note the starts`.
    NoNewStart(SmolStr),
    /// The executor started at least one task since `note the starts`.
    NewStart(SmolStr),
    /// The platform has accepted at most this many appends to a stream.
    AppendsAtMost(u64, SmolStr),
}
