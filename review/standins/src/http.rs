//! A small HTTP/1.1 reader for the stand-ins, without any library.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request as a stand-in sees it.
pub struct Request {
    pub target: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    headers
        .iter()
        .find(|(known, _)| known.eq_ignore_ascii_case(name))
        .map_or("", |(_, value)| value)
}

fn read_head(
    reader: &mut BufReader<TcpStream>,
) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the next request, or `None` at the end of the connection.
pub fn read_request(
    reader: &mut BufReader<TcpStream>,
) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let target = words.nth(1).unwrap_or("").to_owned();
    let len = find(&headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; len];
    reader.read_exact(&mut body)?;
    Ok(Some(Request { target, headers, body }))
}

/// What a caller has received until the answer or its connection ended.
#[derive(Default)]
pub struct Answer {
    /// The status; 0 if the connection ended before it.
    pub status: u16,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the protocol marked the end of the answer.
    pub is_complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads an answer. Ends early if the connection ends.
pub fn read_answer(reader: &mut BufReader<TcpStream>) -> Answer {
    let mut answer = Answer::default();
    let Ok(Some((first, headers))) = read_head(reader) else { return answer };
    answer.status =
        first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    answer.headers = headers;
    if answer.header("transfer-encoding").contains("chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return answer;
            }
            let Ok(len) = usize::from_str_radix(line.trim(), 16) else {
                return answer;
            };
            let mut chunk = vec![0; len + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return answer;
            }
            if len == 0 {
                answer.is_complete = true;
                return answer;
            }
            answer.body.extend_from_slice(&chunk[..len]);
        }
    }
    let len = answer.header("content-length").parse::<usize>();
    if let Ok(len) = len {
        let mut body = vec![0; len];
        answer.is_complete = reader.read_exact(&mut body).is_ok();
        answer.body = body;
    } else {
        answer.is_complete = reader.read_to_end(&mut answer.body).is_ok();
    }
    answer
}

/// Sends raw bytes on a new connection and reads the answer.
pub fn exchange(address: SocketAddr, bytes: &str, limit: Duration) -> Answer {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return Answer::default();
    };
    // Setting a time-out fails only if it is zero.
    let _ = stream.set_read_timeout(Some(limit));
    if stream.write_all(bytes.as_bytes()).is_err() {
        return Answer::default();
    }
    read_answer(&mut BufReader::new(stream))
}

/// One connection to a stand-in.
pub struct Connection {
    pub reader: BufReader<TcpStream>,
    pub stream: TcpStream,
}

impl Connection {
    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    /// Returns whether the other end has closed the connection. Call it only
    /// while no request is expected.
    pub fn is_closed(&mut self) -> bool {
        // Failures show in the read that follows.
        let _ = self.stream.set_nonblocking(true);
        let closed = match self.stream.peek(&mut [0]) {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        };
        let _ = self.stream.set_nonblocking(false);
        closed
    }
}

/// Serves connections with a thread each.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&mut Connection) -> io::Result<()> + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                // An option that can't be set only delays packets.
                let _ = stream.set_nodelay(true);
                let Ok(copy) = stream.try_clone() else { return };
                let reader = BufReader::new(copy);
                let mut connection = Connection { reader, stream };
                // An error is the end of a connection, as the daemon wants it.
                let _ = handle(&mut connection);
            });
        }
    });
}
