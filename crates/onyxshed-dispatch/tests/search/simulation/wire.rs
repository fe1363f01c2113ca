//! Delivery of messages in random order; some are lost.

use super::*;
use onyxshed_core::CallerId;

impl Simulation {
    /// Delivers or loses one message selected at random, so the order and the delay of messages are
    /// arbitrary.
    pub(super) fn deliver_one(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.messages.len());
        let message = self.messages.swap_remove(index);
        let is_lost = self.rng.random_range(0..12) == 0;
        match message {
            Message::ToHost { to, input } => self.deliver_to(to, input),
            Message::Append { from, batch } => self.append(from, &batch, is_lost),
            Message::Read { from } => self.read(from),
            Message::Start {
                from,
                attempt,
                task,
                executor,
            } => {
                self.start(from, attempt, task, executor, is_lost);
            }
            Message::Run {
                from,
                attempt,
                task,
                executor,
            } => {
                self.run(from, attempt, task, executor, is_lost);
            }
            Message::Stop {
                from,
                attempt,
                task,
                executor,
            } => {
                let report = (!is_lost).then(|| self.executors.stop(executor, task, from, attempt));
                self.reply_to_stop(from, attempt, report);
            }
            Message::Query {
                from,
                attempt,
                task,
                executor,
            } => {
                let status = (!is_lost).then(|| self.executors.status(executor, task));
                self.deliver_to(from, Input::QueryEnded { attempt, status });
            }
            Message::Forward {
                from,
                request,
                to,
                call,
            } => {
                self.forward(from, request, to, call, is_lost);
            }
            Message::ForwardAnswer {
                to,
                request,
                id,
                answer,
            } => {
                let answer = (!is_lost).then_some(answer);
                self.deliver_to(
                    to,
                    Input::ForwardEnded {
                        request,
                        id,
                        answer,
                    },
                );
            }
        }
    }

    pub(super) fn deliver_to(&mut self, to: Incarnation, input: Input) {
        if let Some(index) = self.index_of(to) {
            self.deliver_input(index, input);
        }
    }

    pub(super) fn index_of(&self, incarnation: Incarnation) -> Option<usize> {
        self.hosts
            .iter()
            .position(|host| host.incarnation == incarnation)
    }

    pub(super) fn append(&mut self, from: Incarnation, batch: &ClaimBatch, is_lost: bool) {
        let result = match (self.is_log_down, is_lost) {
            (true, false) => Err(AppendFailure::NotAppended),
            (true, true) => Err(AppendFailure::AnswerLost),
            (false, _) => {
                self.log.push(ClaimRecord::ClaimsV1(batch.clone()).encode());
                let offset = Offset(self.log.len() as u64 - 1);
                if is_lost {
                    Err(AppendFailure::AnswerLost)
                } else {
                    Ok(offset)
                }
            }
        };
        let input = Input::AppendEnded {
            batch: batch.batch,
            result,
        };
        self.messages.push(Message::ToHost { to: from, input });
    }

    pub(super) fn read(&mut self, from: Incarnation) {
        let Some(index) = self.index_of(from) else {
            return;
        };
        self.hosts[index].is_reading = false;
        let input = match self.is_log_down {
            true => Input::LogLost,
            false => self.page(self.hosts[index].machine.next_log_offset()),
        };
        self.deliver_input(index, input);
        self.schedule_read(index);
    }

    pub(super) fn page(&self, from: Offset) -> Input {
        let next = Offset(self.log.len() as u64);
        let records = (from.0..next.0).map(|offset| Record {
            offset: Offset(offset),
            at_ms: onyxshed_core::UnixMs(self.now_ms),
            data: self.log[usize::try_from(offset).expect("the offset fits in usize")].clone(),
        });
        Input::LogRead {
            oldest: Offset(0),
            next,
            records: records.collect(),
        }
    }

    pub(super) fn start(
        &mut self,
        from: Incarnation,
        attempt: AttemptId,
        task: TaskId,
        executor: u8,
        is_lost: bool,
    ) {
        if is_lost {
            // The connection breaks; the start may still arrive.
            if self.rng.random_bool(0.5) {
                self.messages.push(Message::Start {
                    from,
                    attempt,
                    task,
                    executor,
                });
            }
            return self.reply(from, attempt, AttemptOutcome::Lost, Vec::new());
        }
        match self.executors.start(executor, task, from, attempt) {
            StartReply::Refused => self.reply(from, attempt, AttemptOutcome::Refused, Vec::new()),
            StartReply::Started => self.messages.push(Message::Run {
                from,
                attempt,
                task,
                executor,
            }),
        }
    }

    pub(super) fn run(
        &mut self,
        from: Incarnation,
        attempt: AttemptId,
        task: TaskId,
        executor: u8,
        is_lost: bool,
    ) {
        let is_done = self.executors.finish(executor, task);
        match (is_lost, is_done) {
            (true, _) => self.reply(from, attempt, AttemptOutcome::Lost, Vec::new()),
            (false, true) => self.reply(from, attempt, AttemptOutcome::Finished, result_of(task)),
            (false, false) => self.reply(from, attempt, AttemptOutcome::Stopped, Vec::new()),
        }
    }

    pub(super) fn reply(
        &mut self,
        to: Incarnation,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        body: Vec<u8>,
    ) {
        let report = AttemptReport {
            outcome,
            body,
            service_us: None,
            load: None,
            detail: smol_str::SmolStr::default(),
        };
        let input = Input::AttemptEnded { attempt, report };
        self.messages.push(Message::ToHost { to, input });
    }

    pub(super) fn reply_to_stop(
        &mut self,
        to: Incarnation,
        attempt: AttemptId,
        report: Option<StopReport>,
    ) {
        self.messages.push(Message::ToHost {
            to,
            input: Input::StopEnded { attempt, report },
        });
    }

    pub(super) fn forward(
        &mut self,
        from: Incarnation,
        request: RequestId,
        to: Incarnation,
        call: ForwardedCall,
        is_lost: bool,
    ) {
        let id = match &call {
            ForwardedCall::Submit(submission) => submission.submission,
            ForwardedCall::Fetch(id) | ForwardedCall::Cancel(id) => *id,
        };
        let Some(index) = self.index_of(to).filter(|_| !is_lost) else {
            return self.deliver_to(
                from,
                Input::ForwardEnded {
                    request,
                    id,
                    answer: None,
                },
            );
        };
        let peer_request = self.request(index, Requester::Peer { from, request, id });
        let input = match call {
            ForwardedCall::Submit(submission) => Input::Submit {
                request: peer_request,
                submission: *submission,
                caller: CallerId::UNKNOWN,
                is_forwarded: true,
            },
            ForwardedCall::Fetch(id) => Input::Fetch {
                request: peer_request,
                id,
                is_forwarded: true,
            },
            ForwardedCall::Cancel(id) => Input::Cancel {
                request: peer_request,
                id,
                is_forwarded: true,
            },
        };
        self.deliver_input(index, input);
    }
}
