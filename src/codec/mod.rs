//! The wire format between our own processes: `postcard` in length-delimited frames.
//!
//! `tarpc` takes any `tokio-serde` codec. This one is small and bounds every frame, so that a
//! damaged or hostile length never makes a process allocate without limit.

use std::io;
use std::marker::PhantomData;
use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tarpc::serde_transport::{self, Transport};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_serde::{Deserializer, Serializer};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Largest frame in bytes that is sent or accepted.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Result of encoding or decoding a frame.
pub type Result<T> = io::Result<T>;

/// A `tokio-serde` codec that reads `Item` and writes `SinkItem` by `postcard`.
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

/// Wraps a connected byte stream, for example a TCP stream, as a `tarpc` transport.
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
