//! `postcard` as the codec of `tarpc`'s transport: about half the bytes of the codecs that ship with it.

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use std::io;
use std::marker::PhantomData;
use std::pin::Pin;
use tokio_serde::{Deserializer, Serializer};

/// Largest frame between daemons, in bytes; a snapshot of the design size fits several times over.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// Encodes `Out` and decodes `In`.
pub struct PostcardCodec<In, Out> {
    direction: PhantomData<fn(In) -> Out>,
}

impl<In, Out> Default for PostcardCodec<In, Out> {
    fn default() -> Self {
        PostcardCodec { direction: PhantomData }
    }
}

impl<In, Out: Serialize> Serializer<Out> for PostcardCodec<In, Out> {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &Out) -> Result<Bytes, io::Error> {
        postcard::to_stdvec(item).map(Bytes::from).map_err(invalid_data)
    }
}

impl<In: for<'de> Deserialize<'de>, Out> Deserializer<In> for PostcardCodec<In, Out> {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, source: &BytesMut) -> Result<In, io::Error> {
        postcard::from_bytes(source).map_err(invalid_data)
    }
}

fn invalid_data(error: postcard::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}
