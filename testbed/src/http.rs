//! A plain HTTP call, as an operator's script would make it.

use http_body_util::BodyExt;

pub struct Response {
    pub status: u16,
    pub headers: hyper::HeaderMap,
    pub body: bytes::Bytes,
}

impl Response {
    pub fn json(&self) -> jzon::JsonValue {
        let text = String::from_utf8_lossy(&self.body);
        jzon::parse(&text).unwrap_or(jzon::JsonValue::Null)
    }
}

pub async fn call(
    address: std::net::SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<Response> {
    let call = async {
        let stream = tokio::net::TcpStream::connect(address).await.ok()?;
        let io = hyper_util::rt::TokioIo::new(stream);
        let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.ok()?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        let mut request = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header(hyper::header::HOST, address.to_string());
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let body = http_body_util::Full::new(bytes::Bytes::copy_from_slice(body));
        let receipt = sender.send_request(request.body(body).ok()?).await.ok()?;
        let (head, body) = receipt.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(Response { status: head.status.as_u16(), headers: head.headers, body })
    };
    tokio::time::timeout(std::time::Duration::from_secs(10), call).await.ok().flatten()
}

/// The same request so many times over one connection, at a pace; how many were served.
pub async fn repeat_request(
    address: std::net::SocketAddr,
    method: &'static str,
    path: &'static str,
    number: String,
    count: usize,
    pause: std::time::Duration,
) -> usize {
    let Ok(stream) = tokio::net::TcpStream::connect(address).await else { return 0 };
    let _ = stream.set_nodelay(true);
    let io = hyper_util::rt::TokioIo::new(stream);
    let Ok((mut sender, connection)) = hyper::client::conn::http1::handshake(io).await else {
        return 0;
    };
    tokio::spawn(async move {
        let _ = connection.await;
    });
    let mut served = 0;
    let mut pulse = tokio::time::interval(pause);
    for turn in 0..count {
        pulse.tick().await;
        let request = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header(hyper::header::HOST, "shop.example")
            .header("x-request", format!("{number}-{turn}"))
            .body(http_body_util::Full::new(bytes::Bytes::new()));
        let Ok(request) = request else { return served };
        if sender.ready().await.is_err() {
            return served;
        }
        let Ok(receipt) = sender.send_request(request).await else { return served };
        let is_good = receipt.status() == hyper::StatusCode::OK;
        if receipt.into_body().collect().await.is_ok() && is_good {
            served += 1;
        }
    }
    served
}
