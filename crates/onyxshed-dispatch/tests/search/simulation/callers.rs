//! Actions of callers, and faults of hosts.

use super::*;
use onyxshed_core::CallerId;

impl Simulation {
    pub(super) fn submit(&mut self) {
        let index = self.rng.random_range(0..HOSTS);
        let unique = u128::from(self.next_request) << 8;
        let ulid = ulid::Ulid::from_parts(self.now_ms, unique);
        let bound_to = self
            .options
            .are_ids_bound_to_host
            .then(|| self.hosts[index].incarnation);
        let id = SubmissionId { ulid, bound_to };
        let tasks = (0..self.rng.random_range(1..4_u8))
            .map(|task| vec![task])
            .collect();
        let submission = Submission {
            submission: id,
            class: "stock-sync".parse().expect("the name is valid"),
            deadline_ms: None,
            copy: CopyMark::First,
            tasks,
        };
        self.sent.insert(id, submission.clone());
        self.send(index, submission);
    }

    /// Sends another copy of a submission to a random host.
    pub(super) fn submit_copy(&mut self) {
        let Some(id) = self.pick_sent() else {
            return;
        };
        let index = self.rng.random_range(0..HOSTS);
        let copy = Submission {
            copy: CopyMark::Again,
            ..self.sent[&id].clone()
        };
        // A new copy may run, so an earlier "not run" answer for the submission is void.
        self.not_run.remove(&id);
        self.send(index, copy);
    }

    pub(super) fn send(&mut self, index: usize, submission: Submission) {
        let id = submission.submission;
        let is_only_copy_in_progress = !self.is_in_progress(id);
        let copy = self.copies.entry(id).or_default();
        *copy += 1;
        let copy = *copy;
        let request = self.request(
            index,
            Requester::Caller {
                id,
                copy,
                is_only_copy_in_progress,
            },
        );

        self.trace
            .push(format!("submit {} to {index}", submission.submission));
        self.deliver_input(
            index,
            Input::Submit {
                request,
                submission,
                caller: CallerId::UNKNOWN,
                is_forwarded: false,
            },
        );
    }

    pub(super) fn request(&mut self, index: usize, requester: Requester) -> RequestId {
        self.next_request += 1;
        let request = RequestId(self.next_request);
        self.requesters
            .insert((self.hosts[index].incarnation, request), requester);
        request
    }

    pub(super) fn cancel(&mut self) {
        let Some(id) = self.pick_sent() else {
            return;
        };
        let index = self.rng.random_range(0..HOSTS);
        let is_only_copy_in_progress = !self.is_in_progress(id);
        let copy = self.copies[&id];
        let request = self.request(
            index,
            Requester::Caller {
                id,
                copy,
                is_only_copy_in_progress,
            },
        );

        self.trace.push(format!("cancel {id} at {index}"));
        self.deliver_input(
            index,
            Input::Cancel {
                request,
                id,
                is_forwarded: false,
            },
        );
    }

    pub(super) fn pick_sent(&mut self) -> Option<SubmissionId> {
        // Only recent submissions are picked, so that copies meet jobs in progress.
        let position = self.rng.random_range(0..6);
        self.sent.keys().rev().nth(position).copied()
    }

    pub(super) fn tick(&mut self) {
        for index in 0..HOSTS {
            self.deliver_input(index, Input::Tick);
        }
    }

    pub(super) fn crash(&mut self) {
        let index = self.rng.random_range(0..HOSTS);
        let gone = self.hosts[index].incarnation;
        self.trace.push(format!("crash of {gone}"));
        self.drop_requests(gone);
        self.hosts[index] = self.new_host();
        self.configure_all();
    }

    /// Lets the drain of a host expire and checks that it answers every request. The host stops
    /// later, with the next crash.
    pub(super) fn expire_drain(&mut self) {
        // Requests that arrived during a freeze come before the end of the drain.
        self.apply_queued_inputs();
        let index = self.rng.random_range(0..HOSTS);
        let host = &self.hosts[index];
        if host.frozen_until_ms > self.now_ms {
            return;
        }
        let incarnation = host.incarnation;
        self.trace.push(format!("drain of {incarnation} expires"));
        self.deliver_input(index, Input::DrainExpired);
        let open = self
            .requesters
            .keys()
            .filter(|(holder, _)| *holder == incarnation)
            .count();
        assert_eq!(
            open,
            0,
            "{}: requests open after the drain",
            self.failure_context()
        );
    }

    /// Drops the requests that a gone host has not answered; peers see their connections close.
    pub(super) fn drop_requests(&mut self, gone: Incarnation) {
        let lost: Vec<Requester> = self
            .requesters
            .extract_if(.., |(incarnation, _), _| *incarnation == gone)
            .map(|(_, requester)| requester)
            .collect();
        for requester in lost {
            if let Requester::Peer { from, request, id } = requester {
                let input = Input::ForwardEnded {
                    request,
                    id,
                    answer: None,
                };
                self.messages.push(Message::ToHost { to: from, input });
            }
        }
    }

    pub(super) fn freeze(&mut self) {
        let index = self.rng.random_range(0..HOSTS);
        let span_ms = self.rng.random_range(50..6_000);
        self.trace
            .push(format!("freeze of {index} for {span_ms} ms"));
        self.hosts[index].frozen_until_ms = self.now_ms + span_ms;
    }
}
