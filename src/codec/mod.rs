//! Wire format between Marjoramknot processes: `postcard` messages in length-delimited frames.
//!
//! `tarpc` accepts any `tokio-serde` codec. This one limits the frame size, so that a corrupt or
//! malicious length prefix cannot make a process allocate an unbounded buffer.

use std::io;
use std::marker::PhantomData;
use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tarpc::serde_transport::{self, Transport};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_serde::{Deserializer, Serializer};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Maximum size of a sent or received frame in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Bytes that the large frames being received by a listener may have together: two of maximum size.
pub(crate) const FRAMES_BUDGET_BYTES: usize = 2 * MAX_FRAME_BYTES;

/// Result of encoding or decoding a frame.
pub type Result<T> = io::Result<T>;

/// A `tokio-serde` codec that decodes `Item` and encodes `SinkItem` with `postcard`.
#[derive(Debug)]
pub struct Postcard<Item, SinkItem> {
    types: PhantomData<fn(SinkItem) -> Item>,
}

impl<Item, SinkItem> Default for Postcard<Item, SinkItem> {
    fn default() -> Self {
        Self { types: PhantomData }
    }
}

impl<Item, SinkItem> Deserializer<Item> for Postcard<Item, SinkItem>
where
    Item: for<'de> Deserialize<'de>,
{
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, src: &BytesMut) -> Result<Item> {
        postcard::from_bytes(src).map_err(invalid_data)
    }
}

impl<Item, SinkItem> Serializer<SinkItem> for Postcard<Item, SinkItem>
where
    SinkItem: Serialize,
{
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &SinkItem) -> Result<Bytes> {
        postcard::to_stdvec(item)
            .map(Bytes::from)
            .map_err(invalid_data)
    }
}

fn invalid_data(error: postcard::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

/// A `tarpc` transport over one byte stream.
pub type PostcardTransport<S, Item, SinkItem> =
    Transport<S, Item, SinkItem, Postcard<Item, SinkItem>>;

/// Wraps a connected byte stream, such as a TCP stream, as a `tarpc` transport.
pub fn transport<S, Item, SinkItem>(stream: S) -> PostcardTransport<S, Item, SinkItem>
where
    S: AsyncRead + AsyncWrite,
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    let frames = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    serde_transport::new(Framed::new(stream, frames), Postcard::default())
}
