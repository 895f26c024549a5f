use marjoramknot::control::{
    ControlApiRequest, ControlApiResponse, ExchangeAnswer, ExchangeRequest,
};
use marjoramknot::entry::SentExchange;
use marjoramknot::units::{EntryId, Incarnation, ZoneId};
use tarpc::{ClientMessage, Request, Response, context};

/// Encodes an exchange request in its wire format.
pub(super) fn encode_request(entry: usize, number: u64, sent: SentExchange) -> Vec<u8> {
    let request = ExchangeRequest {
        entry: entry_id(entry),
        incarnation: Incarnation(1),
        zone: zone_id(),
        sequence: sent.sequence,
        revision: sent.revision,
        usage: Vec::new(),
        shares_version: 0,
        leaving: false,
    };
    let message = ClientMessage::Request(Request {
        context: context::current(),
        id: number,
        message: ControlApiRequest::Exchange { request },
    });
    postcard::to_allocvec(&message).expect("a request encodes")
}

/// Decodes an exchange request from its wire format.
pub(super) fn decode_request(bytes: &[u8]) -> ExchangeRequest {
    let message: ClientMessage<ControlApiRequest> =
        postcard::from_bytes(bytes).expect("a request decodes");
    match message {
        ClientMessage::Request(Request {
            message: ControlApiRequest::Exchange { request },
            ..
        }) => request,
        other => panic!("expected an exchange request, got {other:?}"),
    }
}

/// Encodes an exchange answer in its wire format.
pub(super) fn encode_answer(answer: ExchangeAnswer) -> Vec<u8> {
    let message = Response {
        request_id: answer.sequence.get(),
        message: Ok(ControlApiResponse::Exchange(Ok(answer))),
    };
    postcard::to_allocvec(&message).expect("an answer encodes")
}

/// Decodes an exchange answer from its wire format.
pub(super) fn decode_answer(bytes: &[u8]) -> ExchangeAnswer {
    let message: Response<ControlApiResponse> =
        postcard::from_bytes(bytes).expect("an answer decodes");
    match message.message {
        Ok(ControlApiResponse::Exchange(Ok(answer))) => answer,
        other => panic!("expected an exchange answer, got {other:?}"),
    }
}

fn entry_id(entry: usize) -> EntryId {
    format!("entry-{entry}").parse().expect("an id")
}

fn zone_id() -> ZoneId {
    "zone-1".parse().expect("an id")
}
