//! Requests that are forwarded to the entry host that holds their submission.

use onyxshed_core::{Incarnation, ResultCode, SubmissionId};
use onyxshed_state::MemberState;
use onyxshed_wire::caller::Answer;

use super::Dispatch;
use crate::output::{ForwardedCall, Output, RequestId};

/// Forwarded request that waits for the holder's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ForwardedRequest {
    to: Incarnation,
    id: SubmissionId,
}

impl Dispatch {
    /// Forwards a request to a peer and records that it waits for the peer's answer. Refuses it if
    /// the drain has no time left for that answer.
    pub(super) fn forward_request(
        &mut self,
        request: RequestId,
        id: SubmissionId,
        to: Incarnation,
        call: ForwardedCall,
    ) {
        if self.is_drain_expired() {
            return self.refuse(request, id, ResultCode::StoppedInDoubt);
        }
        self.forwarded_requests
            .insert(request, ForwardedRequest { to, id });
        self.outputs.push(Output::Forward { request, to, call });
    }

    /// Answers a forwarded request with the answer of the holder, or refuses it if the holder could
    /// not be reached. No effect if the request was already answered.
    pub(super) fn apply_forward_answer(
        &mut self,
        request: RequestId,
        id: SubmissionId,
        answer: Option<Answer>,
    ) {
        if self.forwarded_requests.remove(&request).is_none() {
            return;
        }
        match answer {
            Some(answer) => self.answer(request, answer),
            None => self.refuse(request, id, ResultCode::HolderUnreachable),
        }
    }

    /// Refuses every forwarded request. A later answer of a holder is dropped.
    pub(super) fn refuse_all_forwards(&mut self, code: ResultCode) {
        for (request, forwarded) in std::mem::take(&mut self.forwarded_requests) {
            self.refuse(request, forwarded.id, code);
        }
    }

    /// Refuses the forwarded requests whose holder is not live.
    ///
    /// If the holder freezes or is cut off after it has received the request, the caller would
    /// otherwise wait half a minute on a connection without data. A request keeps waiting while the
    /// membership considers the holder live; the membership detects within seconds that a holder no
    /// longer is. A later answer of the holder is dropped.
    pub(super) fn refuse_unreachable_forwards(&mut self) {
        let is_holder_live = |forwarded: &ForwardedRequest| {
            let member = self.members.get(&forwarded.to);
            member.is_some_and(|member| member.state == MemberState::Live)
        };
        let mut unreachable = Vec::new();
        for (request, forwarded) in &self.forwarded_requests {
            if !is_holder_live(forwarded) {
                unreachable.push((*request, *forwarded));
            }
        }
        for (request, ForwardedRequest { to, id }) in unreachable {
            self.forwarded_requests.remove(&request);
            let code = match self.gone.contains(&to) {
                true => ResultCode::HolderGone,
                false => ResultCode::HolderUnreachable,
            };
            self.refuse(request, id, code);
        }
    }
}
