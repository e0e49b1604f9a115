//! Reads a value of known length and what follows it.

use std::io;

use bytes::{BufMut, Bytes, BytesMut};

use super::messages::{ResponseError, Trailer, ValueEnding};
use super::UpstreamConnection;
use crate::budget::MemoryGrant;
use crate::read;
use crate::socket_io::read_buf;

/// Why a value could not be read.
pub enum ValueError {
    /// The connection ended first.
    ConnectionEnded,
    /// What follows the value is invalid.
    Invalid,
}

/// The bytes of a value, and the memory granted for them.
pub struct GrantedBytes {
    pub bytes: Bytes,
    pub memory: MemoryGrant,
}

/// A value that was read whole.
pub struct CollectedValue {
    /// `None` if it was discarded.
    pub value: Option<GrantedBytes>,
    /// The bytes after the value, which are at the front of the buffer.
    pub trailer: Trailer,
}

/// Reads a value, whose first bytes are next, up to its end. Without memory it is discarded.
pub async fn collect_value(
    connection: &mut UpstreamConnection,
    length: usize,
    memory: Option<MemoryGrant>,
    ending: ValueEnding,
) -> Result<CollectedValue, ValueError> {
    let value = match memory {
        Some(memory) => {
            let bytes = read_value(connection, length).await?;
            Some(GrantedBytes { bytes, memory })
        }
        None => {
            discard_value(connection, length).await?;
            None
        }
    };
    let trailer = read_trailer(connection, ending).await?;
    Ok(CollectedValue { value, trailer })
}

/// Reads what follows a value; it stays at the front of the buffer.
pub async fn read_trailer(
    connection: &mut UpstreamConnection,
    ending: ValueEnding,
) -> Result<Trailer, ValueError> {
    read_until(connection, |bytes| ending.parse(bytes)).await
}

/// Reads what follows a value until that shows that the value ended where its head said.
pub async fn read_end(connection: &mut UpstreamConnection, ending: ValueEnding) -> Result<(), ValueError> {
    read_until(connection, |bytes| Ok(ending.is_value_whole(bytes)?.then_some(()))).await
}

/// Reads into the buffer until its bytes parse.
async fn read_until<T>(
    connection: &mut UpstreamConnection,
    parse: impl Fn(&[u8]) -> Result<Option<T>, ResponseError>,
) -> Result<T, ValueError> {
    loop {
        match parse(connection.buffer.bytes()) {
            Ok(Some(parsed)) => return Ok(parsed),
            Ok(None) if connection.has_room() => {}
            Ok(None) | Err(_) => return Err(ValueError::Invalid),
        }
        more(read(&mut connection.stream, &mut connection.buffer).await)?;
    }
}

/// Reads the next `length` bytes into memory of exactly this size.
async fn read_value(connection: &mut UpstreamConnection, length: usize) -> Result<Bytes, ValueError> {
    let mut value = BytesMut::with_capacity(length);
    let buffered = connection.buffer.bytes();
    let count = buffered.len().min(length);
    value.extend_from_slice(&buffered[..count]);
    connection.buffer.consume(count);
    while value.len() < length {
        let missing = length - value.len();
        let mut unfilled = (&mut value).limit(missing);
        more(read_buf(&mut connection.stream, &mut unfilled).await)?;
    }
    Ok(value.freeze())
}

/// Reads the next `length` bytes and drops them.
async fn discard_value(connection: &mut UpstreamConnection, mut length: usize) -> Result<(), ValueError> {
    loop {
        let count = connection.buffer.bytes().len().min(length);
        connection.buffer.consume(count);
        length -= count;
        if length == 0 {
            return Ok(());
        }
        more(read(&mut connection.stream, &mut connection.buffer).await)?;
    }
}

/// An error if a read brought no more bytes.
fn more(read: io::Result<usize>) -> Result<(), ValueError> {
    match read {
        Ok(1..) => Ok(()),
        Ok(0) | Err(_) => Err(ValueError::ConnectionEnded),
    }
}
