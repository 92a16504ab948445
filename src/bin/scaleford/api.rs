//! HTTP client of a router's operator API.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use serde_json::Value;

/// Address of a router's operator API, with the operator's token.
pub(crate) struct Api {
    address: String,
    token: String,
}

/// Response of the router.
pub(crate) struct ApiResponse {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

impl Api {
    /// Creates a client from flags, or else from environment variables.
    pub(crate) fn from_flags(operator: Option<&str>, token: Option<&str>) -> Result<Self, String> {
        let or_env = |flag: Option<&str>, variable: &str| {
            let given = flag
                .map(str::to_owned)
                .or_else(|| std::env::var(variable).ok());
            given.ok_or_else(|| format!("neither {variable} nor its flag is set"))
        };
        Ok(Self {
            address: or_env(operator, "SCALEFORD_OPERATOR")?,
            token: or_env(token, "SCALEFORD_TOKEN")?,
        })
    }

    /// Sends a GET request.
    pub(crate) fn get(&self, path: &str) -> Result<ApiResponse, String> {
        self.call(Method::GET, path, String::new())
    }

    /// Sends a POST request.
    pub(crate) fn post(&self, path: &str, body: String) -> Result<ApiResponse, String> {
        self.call(Method::POST, path, body)
    }

    fn call(&self, method: Method, path: &str, body: String) -> Result<ApiResponse, String> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.map_err(|e| e.to_string())?;
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("authorization", format!("Bearer {}", self.token))
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| e.to_string())?;
        runtime.block_on(async {
            let client = Client::builder(TokioExecutor::new()).build_http();
            let res = client
                .request(req)
                .await
                .map_err(|e| format!("{}: {e}", self.address))?;
            let status = res.status().as_u16();
            let body = res.into_body().collect().await.map_err(|e| e.to_string())?;
            let body = serde_json::from_slice(&body.to_bytes()).map_err(|e| e.to_string())?;
            Ok(ApiResponse { status, body })
        })
    }
}
