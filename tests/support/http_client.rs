//! An HTTP client for tests and examples.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::time::timeout;

/// Time limit of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A client that keeps connections alive as browsers and agents do.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }
}

impl HttpClient {
    /// Sends a request and reads the complete response. The error is a readable message.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<(StatusCode, String), String> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(body.into()))
            .map_err(|cause| cause.to_string())?;
        timeout(REQUEST_TIMEOUT, self.exchange(request))
            .await
            .map_err(|_late| "no answer in time".to_owned())?
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, String), String> {
        let answer = self.client.request(request).await;
        let answer = answer.map_err(|cause| cause.to_string())?;
        let status = answer.status();
        let body = answer.into_body().collect().await;
        let body = body.map_err(|cause| cause.to_string())?.to_bytes();
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    }
}
