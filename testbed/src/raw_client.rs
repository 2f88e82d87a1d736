//! A client on a plain socket that reads slowly and keeps sending, and that tells a reset from the end of
//! the stream. Like most event-loop clients it gives up at the first error of either direction.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Interval, MissedTickBehavior, interval, timeout};

/// How a client reads and sends.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Size of the socket's receive buffer in bytes; `None` leaves the system's default.
    pub receive_buffer_bytes: Option<u32>,
    /// Number of bytes that are read at one time.
    pub read_bytes: usize,
    /// Time between two reads.
    pub read_interval: Duration,
    /// Time between two pieces that are sent behind the first request.
    pub send_interval: Duration,
}

impl Pace {
    /// A slow reader with a small receive buffer.
    pub const SLOW: Pace = Pace {
        receive_buffer_bytes: Some(4 << 10),
        read_bytes: 4 << 10,
        read_interval: Duration::from_millis(5),
        send_interval: Duration::from_millis(5),
    };
    /// A client that reads and sends as fast as it can.
    pub const FAST: Pace = Pace {
        receive_buffer_bytes: None,
        read_bytes: 64 << 10,
        read_interval: Duration::from_millis(1),
        send_interval: Duration::from_millis(1),
    };
    /// A faster reader with the system's receive buffer.
    pub const MODERATE: Pace =
        Pace { receive_buffer_bytes: None, read_interval: Duration::from_millis(1), ..Pace::SLOW };
}

/// How the connection of a client ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The other side closed its sending side.
    EndOfStream,
    /// Reading or sending failed, for example with a reset.
    Failed(ErrorKind),
    /// The connection was still open when the client stopped.
    Open,
}

/// A complete response.
#[derive(Clone, Debug, Default)]
pub struct RawResponse {
    /// The status code; 0 if the status line is invalid.
    pub status: u16,
    /// The names and values of the header fields.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl RawResponse {
    /// The status code.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// The value of a header field.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// What comes next for a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tick {
    /// It may read.
    Read,
    /// It may send.
    Send,
}

/// What a client received on its connection.
#[derive(Debug)]
pub struct Received {
    /// The complete responses.
    pub responses: Vec<RawResponse>,
    /// How the connection ended.
    pub end: StreamEnd,
    /// Number of bytes that arrived behind the last complete response.
    pub incomplete_bytes: usize,
}

/// A client with one connection.
pub struct RawClient {
    stream: TcpStream,
    pace: Pace,
    received: Vec<u8>,
    responses: Vec<RawResponse>,
    unsent: Vec<u8>,
    reads: Interval,
    sends: Interval,
}

impl RawClient {
    /// Connects to an address.
    ///
    /// # Errors
    /// If the connection cannot be opened.
    pub async fn connect(address: SocketAddr, pace: Pace) -> std::io::Result<RawClient> {
        let socket = TcpSocket::new_v4()?;
        if let Some(bytes) = pace.receive_buffer_bytes {
            socket.set_recv_buffer_size(bytes)?;
        }
        let stream = socket.connect(address).await?;
        let _ = stream.set_nodelay(true);
        let ticks = |period| {
            let mut ticks = interval(period);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            ticks
        };
        Ok(RawClient {
            stream,
            pace,
            received: Vec::new(),
            responses: Vec::new(),
            unsent: Vec::new(),
            reads: ticks(pace.read_interval),
            sends: ticks(pace.send_interval),
        })
    }

    /// Waits until the client may read or send next.
    pub async fn tick(&mut self) -> Tick {
        tokio::select! {
            _ = self.reads.tick() => Tick::Read,
            _ = self.sends.tick() => Tick::Send,
        }
    }

    /// Whether bytes are queued that the socket has not taken yet.
    pub fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Takes the complete responses that were read.
    pub fn take_responses(&mut self) -> Vec<RawResponse> {
        std::mem::take(&mut self.responses)
    }

    /// Closes the sending side.
    ///
    /// # Errors
    /// If the connection is gone.
    pub fn finish_sending(&self) -> std::io::Result<()> {
        Ok(rustix::net::shutdown(&self.stream, rustix::net::Shutdown::Write)?)
    }

    /// Queues bytes and sends as many of them as the socket takes.
    ///
    /// # Errors
    /// If sending fails.
    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.unsent.extend_from_slice(bytes);
        self.send_unsent()
    }

    /// Sends as many of the queued bytes as the socket takes.
    ///
    /// # Errors
    /// If sending fails.
    pub fn send_unsent(&mut self) -> std::io::Result<()> {
        while !self.unsent.is_empty() {
            match self.stream.try_write(&self.unsent) {
                Ok(count) => drop(self.unsent.drain(..count)),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Resets the connection.
    pub fn reset(self) {
        self.stream.set_zero_linger().expect("the socket is open");
    }

    /// Reads until the first byte of a response is there.
    pub async fn wait_for_response(&mut self, limit: Duration) {
        let waiting = async {
            while self.received.is_empty() && self.responses.is_empty() {
                self.stream.readable().await.expect("the connection is open");
                if self.read_once().is_some() {
                    break;
                }
            }
        };
        timeout(limit, waiting).await.expect("a response begins in time");
    }

    /// Waits for the next complete response.
    ///
    /// # Errors
    /// How the connection ended, if it did before the response was complete.
    pub async fn next_response(&mut self) -> Result<RawResponse, StreamEnd> {
        let mut end = None;
        loop {
            if !self.responses.is_empty() {
                return Ok(self.responses.remove(0));
            }
            if let Some(end) = end {
                return Err(end);
            }
            let readable = self.stream.readable().await;
            end = match readable {
                Ok(()) => self.read_once(),
                Err(error) => Some(StreamEnd::Failed(error.kind())),
            };
        }
    }

    /// Waits until bytes of a response can be read, and leaves them unread. Returns false after the limit.
    pub async fn wait_until_readable(&self, limit: Duration) -> bool {
        matches!(timeout(limit, self.stream.readable()).await, Ok(Ok(())))
    }

    /// Waits until the other side has closed its sending side.
    pub async fn wait_until_end(&mut self, limit: Duration) {
        let ending = async {
            while self.read_once().is_none() {
                self.stream.readable().await.expect("the connection is open");
            }
        };
        timeout(limit, ending).await.expect("the connection ends in time");
    }

    /// Sends all pieces, one per interval, without reading anything meanwhile.
    ///
    /// # Errors
    /// The error with which sending failed.
    pub async fn send_all(
        &mut self,
        pieces: impl IntoIterator<Item = Vec<u8>>,
    ) -> std::io::Result<()> {
        for piece in pieces {
            self.send(&piece)?;
            while !self.unsent.is_empty() {
                self.stream.writable().await?;
                self.send_unsent()?;
            }
            tokio::time::sleep(self.pace.send_interval).await;
        }
        Ok(())
    }

    /// Reads once; returns how the connection ended, if it did.
    pub fn read_once(&mut self) -> Option<StreamEnd> {
        let mut buffer = vec![0; self.pace.read_bytes];
        match self.stream.try_read(&mut buffer) {
            Ok(0) => return Some(StreamEnd::EndOfStream),
            Ok(count) => self.received.extend_from_slice(&buffer[..count]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Some(StreamEnd::Failed(error.kind())),
        }
        while let Some(response) = take_response(&mut self.received) {
            self.responses.push(response);
        }
        None
    }

    /// Reads until `count` responses are complete or the connection ends. Meanwhile sends the pieces that
    /// `next_piece` yields, one per interval, until it yields none.
    pub async fn read_while_sending(
        mut self,
        count: usize,
        limit: Duration,
        mut next_piece: impl FnMut() -> Option<Vec<u8>>,
    ) -> Received {
        let exchange = async {
            while self.responses.len() < count {
                let end = match self.tick().await {
                    Tick::Read => self.read_once(),
                    Tick::Send => {
                        if !self.has_unsent() {
                            self.unsent = next_piece().unwrap_or_default();
                        }
                        self.send_unsent().err().map(|error| StreamEnd::Failed(error.kind()))
                    }
                };
                if let Some(end) = end {
                    return end;
                }
            }
            StreamEnd::Open
        };
        let end = timeout(limit, exchange).await.unwrap_or(StreamEnd::Open);
        let incomplete_bytes = self.received.len();
        Received { responses: self.responses, end, incomplete_bytes }
    }

    /// Reads until `count` responses are complete or the connection ends, without sending.
    pub async fn read(self, count: usize, limit: Duration) -> Received {
        self.read_while_sending(count, limit, || None).await
    }
}

/// Removes the first complete response from `received`; `None` if it is not complete yet. Only bodies with
/// a declared length are understood.
fn take_response(received: &mut Vec<u8>) -> Option<RawResponse> {
    let head_end = received.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&received[..head_end]).to_string();
    let mut lines = head.lines();
    let status_line = lines.next().and_then(|line| line.strip_prefix("HTTP/1.1 "));
    let status = status_line.and_then(|line| line.split(' ').next()?.parse().ok());
    let mut response = RawResponse { status: status.unwrap_or(0), ..RawResponse::default() };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            response.headers.push((name.to_string(), value.trim().to_string()));
        }
    }
    let length = response.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    response.body = received.get(head_end..head_end + length)?.to_vec();
    received.drain(..head_end + length);
    Some(response)
}
