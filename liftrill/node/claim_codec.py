"""Conversion between claims and their protobuf messages."""

from liftrill.coordination.claims import ClaimAnswer, ClaimProposal, StoredResult, Verdict
from liftrill.messages import peer_pb2 as messages

_VERDICTS = {
    Verdict.GRANTED: messages.GRANTED,
    Verdict.HELD: messages.HELD,
    Verdict.ABSTAINED: messages.ABSTAINED,
    Verdict.WRONG_EPOCH: messages.WRONG_EPOCH,
    Verdict.EXPIRED: messages.EXPIRED,
}
_VERDICTS_BY_NUMBER = {int(number): verdict for verdict, number in _VERDICTS.items()}


def proposal_message(proposal: ClaimProposal) -> messages.ClaimRequest:
    """Return the message of a proposal."""
    return messages.ClaimRequest(
        key=proposal.key,
        attempt_id=proposal.attempt_id,
        request_digest=proposal.digest,
        epoch=proposal.epoch,
    )


def proposal_from_message(message: messages.ClaimRequest) -> ClaimProposal:
    """Return the proposal of a message."""
    return ClaimProposal(message.key, message.attempt_id, message.request_digest, message.epoch)


def answer_message(answer: ClaimAnswer) -> messages.ClaimReply:
    """Return the message of an answer."""
    message = messages.ClaimReply(
        verdict=_VERDICTS[answer.verdict],
        holder_attempt_id=answer.holder_attempt_id,
        holder_request_digest=answer.holder_digest,
    )
    if answer.result is not None:
        message.result.CopyFrom(result_message(answer.result))
    return message


def answer_from_message(message: messages.ClaimReply) -> ClaimAnswer:
    """Return the answer of a message; an unknown verdict, as of a newer version, is ABSTAINED."""
    result = result_from_message(message.result) if message.HasField("result") else None
    verdict = _VERDICTS_BY_NUMBER.get(int(message.verdict), Verdict.ABSTAINED)
    return ClaimAnswer(verdict, message.holder_attempt_id, message.holder_request_digest, result)


def result_message(result: StoredResult) -> messages.StoredResult:
    """Return the message of a stored response."""
    return messages.StoredResult(
        text=result.text,
        finish_reason=result.finish_reason,
        prompt_tokens=result.prompt_tokens,
        completion_tokens=result.completion_tokens,
        weight_version=result.weight_version,
    )


def result_from_message(message: messages.StoredResult) -> StoredResult:
    """Return the stored response of a message."""
    return StoredResult(
        message.text,
        message.finish_reason,
        message.prompt_tokens,
        message.completion_tokens,
        message.weight_version,
    )
