//! What callers and faults do.

use super::*;

impl World {
    pub(super) fn submit(&mut self) {
        let index = self.rng.random_range(0..HOSTS);
        let unique = u128::from(self.next_request) << 8;
        let ulid = ulid::Ulid::from_parts(self.now_ms, unique);
        let bound_to = self.options.bound.then(|| self.hosts[index].incarnation);
        let id = SubmissionId { ulid, bound_to };
        let tasks = (0..self.rng.random_range(1..4_u8))
            .map(|task| vec![task])
            .collect();
        let submission = Submission {
            submission: id,
            class: "stock-sync".parse().expect("a name"),
            deadline_ms: None,
            copy: CopyMark::First,
            tasks,
        };
        self.sent.insert(id, submission.clone());
        self.send(index, submission);
    }

    /// Sends another copy of a submission to any host; it was told "not run" or nothing yet.
    pub(super) fn submit_copy(&mut self) {
        let Some(id) = self.pick_sent() else {
            return;
        };
        let index = self.rng.random_range(0..HOSTS);
        let copy = Submission {
            copy: CopyMark::Again,
            ..self.sent[&id].clone()
        };
        // Asking again withdraws what an earlier copy was told: this one may run.
        self.not_run.remove(&id);
        self.send(index, copy);
    }

    pub(super) fn send(&mut self, index: usize, submission: Submission) {
        let id = submission.submission;
        let is_alone = !self.is_under_way(id);
        let copy = self.copies.entry(id).or_default();
        *copy += 1;
        let copy = *copy;
        let request = self.request(index, Asker::Caller { id, copy, is_alone });

        self.trace
            .push(format!("submit {} to {index}", submission.submission));
        self.feed(
            index,
            Input::Submit {
                request,
                submission,
                is_forwarded: false,
            },
        );
    }

    pub(super) fn request(&mut self, index: usize, asker: Asker) -> RequestId {
        self.next_request += 1;
        let request = RequestId(self.next_request);
        self.askers
            .insert((self.hosts[index].incarnation, request), asker);
        request
    }

    pub(super) fn cancel(&mut self) {
        let Some(id) = self.pick_sent() else {
            return;
        };
        let index = self.rng.random_range(0..HOSTS);
        let is_alone = !self.is_under_way(id);
        let copy = self.copies[&id];
        let request = self.request(index, Asker::Caller { id, copy, is_alone });

        self.trace.push(format!("cancel {id} at {index}"));
        self.feed(
            index,
            Input::Cancel {
                request,
                id,
                is_forwarded: false,
            },
        );
    }

    pub(super) fn pick_sent(&mut self) -> Option<SubmissionId> {
        // Mostly recent ones, so that copies meet jobs under way.
        let back = self.rng.random_range(0..6);
        self.sent.keys().rev().nth(back).copied()
    }

    pub(super) fn tick(&mut self) {
        for index in 0..HOSTS {
            self.feed(index, Input::Tick);
        }
    }

    pub(super) fn crash(&mut self) {
        let index = self.rng.random_range(0..HOSTS);
        let gone = self.hosts[index].incarnation;
        self.trace.push(format!("crash of {gone}"));
        self.hang_up(gone);
        self.hosts[index] = self.born();
        self.introduce_all();
    }

    /// Drops what waits for a host that is gone; peers see their connections close.
    pub(super) fn hang_up(&mut self, gone: Incarnation) {
        let lost: Vec<Asker> = self
            .askers
            .extract_if(.., |(life, _), _| *life == gone)
            .map(|(_, asker)| asker)
            .collect();
        for asker in lost {
            if let Asker::Peer { from, request, id } = asker {
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
