//! Requests that are forwarded to the entry host that holds their submission.

use onyxshed_core::{Incarnation, ResultCode, SubmissionId};
use onyxshed_state::MemberState;
use onyxshed_wire::caller::Answer;

use super::Dispatch;
use crate::output::{ForwardedCall, Output, RequestId};

/// Forwarded request that waits for the holder's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PassedOn {
    to: Incarnation,
    id: SubmissionId,
}

impl Dispatch {
    pub(super) fn pass_on(
        &mut self,
        request: RequestId,
        id: SubmissionId,
        to: Incarnation,
        call: ForwardedCall,
    ) {
        self.passed_on.insert(request, PassedOn { to, id });
        self.outputs.push(Output::Forward { request, to, call });
    }

    pub(super) fn forwarded(
        &mut self,
        request: RequestId,
        id: SubmissionId,
        answer: Option<Answer>,
    ) {
        if self.passed_on.remove(&request).is_none() {
            return;
        }
        match answer {
            Some(answer) => self.answer(request, answer),
            None => self.refuse(request, id, ResultCode::HolderUnreachable),
        }
    }

    /// Refuses the forwarded requests whose holder is not live.
    ///
    /// If the holder freezes or is cut off after it received the request, the caller would
    /// otherwise wait half a minute on a connection without data. Requests keep waiting while the
    /// membership considers the peer live; it detects within seconds that it is not. A late answer
    /// of the holder is dropped.
    pub(super) fn give_up_on_silent_holders(&mut self) {
        let is_heard = |passed: &PassedOn| {
            let member = self.members.get(&passed.to);
            member.is_some_and(|member| member.state == MemberState::Live)
        };
        let mut given_up = Vec::new();
        for (request, passed) in &self.passed_on {
            if !is_heard(passed) {
                given_up.push((*request, *passed));
            }
        }
        for (request, PassedOn { to, id }) in given_up {
            self.passed_on.remove(&request);
            let code = match self.gone.contains(&to) {
                true => ResultCode::HolderGone,
                false => ResultCode::HolderUnreachable,
            };
            self.refuse(request, id, code);
        }
    }
}
